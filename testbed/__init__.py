"""Starting a whole site on loopback, for the demo, the tests and the bench.

The processes of the system never start one another; this package, which is no
part of the system, starts them.
"""
