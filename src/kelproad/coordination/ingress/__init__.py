"""The routed interface: opaque calls, routed by host and path to services.

``admission`` receives a call, ``retrying`` has it answered, ``placing`` chooses
endpoints, ``streams`` makes one attempt.  ``tables`` follows configuration and
endpoints in the store or at other instances, ``membership`` exchanges work in
flight with them, ``node`` composes the components.  The encoding on the wire is
supplied from outside, as functions (``admission.dialect``).
"""
