"""The ``kelproad`` program with all of its commands.

Commands import what they need when they run: an instance has 64 MB of memory
for its control plane, and operator commands should start without delay.
"""

import typer

from . import files, operators, serve, standins, workload

__all__ = ['app']

app = typer.Typer(
    help='A serving layer between callers and model engines.',
    no_args_is_help=True,
    pretty_exceptions_enable=False,
)
app.command()(serve.serve)
app.command()(files.check)
app.command()(files.apply)
app.command()(files.diff)
app.command()(files.get)
app.command()(files.history)
app.command()(files.remove)
app.command()(files.rollback)
app.command()(operators.status)
app.command()(operators.dump)
app.command()(operators.explain)
app.command()(operators.drain)
app.command()(workload.load)
app.add_typer(
    standins.app,
    name='stand-in',
    help='Small substitutes for outside systems, for demos and tests.',
)
