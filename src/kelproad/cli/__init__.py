"""The ``kelproad`` command: serving, operators' verbs, load, stand-ins.

Nothing is imported here: an instance needs only what serves, and the rest would
take a third of the processor time of its start.
"""
