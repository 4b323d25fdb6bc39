"""Typed messages, codecs and clients for every peer of the system.

May import ``transport`` and ``state``; ``coordination`` and the command line
import it.
"""
