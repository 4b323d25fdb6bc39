"""Sockets and HTTP sessions, without knowledge of their content.

May import ``state``; ``protocol``, ``coordination`` and the command line
import it.
"""
