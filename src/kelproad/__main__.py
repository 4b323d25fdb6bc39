"""Run the command line as ``python -m kelproad``."""

from .cli import app

app()
