"""Endpoints that want no more calls: those that leave, or pause."""
