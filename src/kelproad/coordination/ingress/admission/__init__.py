"""Calls as they arrive: their head, admission, and planned stops."""
