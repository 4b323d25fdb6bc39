"""Records and the tables that contain them; no input or output.

Every other layer may import this one; it imports none of them.  Operators'
declarations are in ``declarations``, the snapshot of them in force in
``configuration``; ``requests``, ``endpoints``, ``members``, ``claims``,
``holdings`` and ``orders`` are the tables of a running instance; ``refusals``
are the expected errors, ``invariants`` the assertions, ``counters`` the
metrics.
"""
