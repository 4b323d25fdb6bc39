"""The ``kelproad`` command: serving, operator commands, load, stand-ins.

Nothing is imported here: an instance needs only the serving modules, and
importing the rest would take a third of the processor time of its start.
"""
