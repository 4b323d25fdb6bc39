"""Long seeded random runs: all faults mixed, and the accounts checked after.

``callers`` sends requests and keeps what each was told, ``faults`` draws and
brings about failures, ``accounts`` compares what callers were told with what
services and engines did, ``run`` joins them.
"""
