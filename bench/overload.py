"""Goodput just below and above the engines' capacity.

Goodput counts the prompt tokens of requests that were answered completely
within their deadline; a system without admission control spends its engines on
requests that then miss the deadline.
"""

import json
import os
import pathlib
import sys
import tempfile
from typing import Annotated

import attrs
import typer

REPOSITORY = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(REPOSITORY))

from bench.fleet import Fleet, Load, plan_site  # noqa: E402
from testbed.site import start_site  # noqa: E402

_SHARES = (0.95, 1.2)
_OUTPUT = pathlib.Path('build/bench')


@attrs.frozen
class Goodput:
    """Goodput and outcomes at one load, a share of capacity."""

    share: float
    sent: int
    outcomes: dict[str, int]
    tokens_per_second: float
    machine_load: float


def main(
    seconds: Annotated[float, typer.Option(help='Length of a round.')] = 40.0,
    deadline: Annotated[
        float, typer.Option(help='Deadline of a request, s.')
    ] = 8.0,
    engines: Annotated[int, typer.Option()] = 6,
    time_scale: Annotated[float, typer.Option()] = 4.0,
    output: Annotated[pathlib.Path, typer.Option()] = _OUTPUT,
) -> None:
    """Measure goodput at 95% and 120% of the engines' capacity."""
    plan = plan_site(
        time_scale,
        engines,
        honours_priorities=True,
        interrupts=True,
    )
    measured = []
    with tempfile.TemporaryDirectory() as directory:
        with start_site(plan, pathlib.Path(directory)) as site:
            fleet = Fleet(site, time_scale)
            # A first round lets the instances learn the engines' rates.  In
            # measured rounds no prompt repeats, as cached prefixes would
            # lower the load.
            fleet.send(Load(_SHARES[0] / 2, seconds / 4))
            for share in _SHARES:
                load = Load(share, seconds, 1, deadline, repeated=0)
                measured.append(_measure(fleet, load))
                print(measured[-1], flush=True)
    output.mkdir(parents=True, exist_ok=True)
    fields = [attrs.asdict(goodput) for goodput in measured]
    (output / 'overload.json').write_text(json.dumps(fields, indent=2))
    below, above = measured
    ratio = above.tokens_per_second / below.tokens_per_second
    print(f'goodput at 120% is {ratio:.2f} of that at 95%')


def _measure(fleet: Fleet, load: Load) -> Goodput:
    report = fleet.send(load)
    busy, _, _ = os.getloadavg()
    return Goodput(
        load.share,
        report.sent,
        dict(report.outcomes),
        report.answered_tokens / load.seconds,
        busy,
    )


if __name__ == '__main__':
    typer.run(main)
