"""The ``kelproad`` command: serving, operators' verbs, load, stand-ins."""

from .main import app

__all__ = ['app']
