"""The decisions, and the services that carry them out.

Decisions are plain functions over ``state``; services are `mode` services
that own tasks.  May import every layer but the command line.
"""
