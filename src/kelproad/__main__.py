"""Run the command line as ``python -m kelproad``."""

from .cli.main import app

app()
