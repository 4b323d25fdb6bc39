"""Long seeded random runs that mix all faults and check consistency afterwards.

``callers`` sends requests and records their answers, ``faults`` chooses and
injects faults, ``accounts`` compares the answers with the effects at services
and engines, ``run`` is the program.  The modules ``routed*`` and ``links`` do
the same for the routed interface.
"""
