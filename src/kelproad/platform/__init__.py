"""The users' platform: its settings file, store, names and header fields.

The only package that knows the platform's wire names and formats.  It decodes
them once into records of the product, and encodes what the product sends.  It
makes no decisions; only the command line imports it.
"""
