"""Connections to endpoints, through another instance where needed."""
