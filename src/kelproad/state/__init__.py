"""Records and the tables that hold them; no input or output.

Every other layer may import this one; it imports none of them.
"""
