"""Records and the tables that hold them; no input or output.

Every other layer may import this one; it imports none of them.  What operators
declare is in ``declarations``, what of it is in force in ``configuration``;
``requests``, ``endpoints``, ``members``, ``claims``, ``holdings`` and
``orders`` are the tables of a running instance; ``refusals`` are the expected
errors, ``invariants`` the assertions, ``counters`` the metrics.
"""
