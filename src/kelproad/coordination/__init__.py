"""Decisions, and the services that carry them out.

Decisions are plain functions over ``state``; services are `mode` services
that own tasks.  May import every layer but the command line.

Modules by topic:

- the process: ``instance`` creates the components, ``sides`` the listeners,
  ``drain`` is the planned stop, ``dump`` returns the state for operators
- the path of a request: ``entry``, ``reception``, ``admission``,
  ``limits``, ``accounting``, then ``completions`` or ``plain``, ``outcomes``,
  ``sending``
- answers from engines: ``attempts``, ``relays``, ``answers``, ``delivery``,
  ``segments``, ``retries``
- choice of the endpoint: ``routing``, ``candidates``, ``prediction``,
  ``feasibility``, ``ejection``, ``policies`` (baselines)
- execution at most once: ``claims``, ``claimrows``, ``grouping``,
  ``settlements``, ``verdicts``
- memory of engines: ``reclamation``, ``orphans``; ``leaving`` for endpoints
  that are being removed
- other instances: ``membership``, ``gossip``, ``watch``
- configuration: ``acceptance``, ``conflicts``, ``history``, ``loading``,
  ``configuration``, ``lag``; ``operators`` and ``fileapi``
  are the operators' API
- orders to engines: ``orders``, ``leases``, ``rollout``, ``failures``
"""
