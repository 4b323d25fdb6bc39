"""The decisions, and the services that carry them out.

Decisions are plain functions over ``state``; services are `mode` services
that own tasks.  May import every layer but the command line.

Where to look:

- one process: ``instance`` joins the parts, ``sides`` listens, ``drain`` is
  the planned stop, ``dump`` shows the state
- a request from top to bottom: ``entry``, ``reception``, ``admission``,
  ``limits``, ``accounts``, then ``completions`` or ``plain``, ``outcomes``,
  ``sending``
- answers of engines: ``attempts``, ``relays``, ``answers``, ``delivery``,
  ``segments``, ``retries``
- which endpoint: ``routing``, ``candidates``, ``prediction``,
  ``feasibility``, ``ejection``, ``policies`` (baselines)
- at most once: ``claims``, ``claimrows``, ``grouping``, ``settlements``,
  ``verdicts``
- engines' memory: ``reclamation``, ``orphans``; ``leaving`` for endpoints
  that are going
- other instances: ``membership``, ``gossip``, ``watch``
- configuration: ``acceptance``, ``races``, ``history``, ``loading``,
  ``configuration``, ``lag``; ``operators`` and ``fileapi`` for people
- orders to engines: ``orders``, ``leases``, ``rollout``, ``failures``
"""
