"""The routed interface: opaque calls, routed by host and path to services.

``entrance`` receives a call, ``dispatching`` has it answered, ``selection``
chooses endpoints, ``attempts`` makes one attempt.  ``following`` reads
configuration and endpoints from the store, ``relaying`` from other instances,
``exchange`` reports work in flight to peers, ``node`` composes the components.
The encoding on the wire is supplied from outside, as functions (``dialect``).
"""
