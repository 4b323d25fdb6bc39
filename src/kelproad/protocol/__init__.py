"""Typed messages and codecs for every side that the system talks to.

May import ``transport`` and ``state``; ``coordination`` and the command line
import it.
"""
