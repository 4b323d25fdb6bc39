"""Sockets and HTTP sessions: bytes in, bytes out.

May import ``state``; ``protocol``, ``coordination`` and the command line
import it.
"""
