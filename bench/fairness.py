"""Effect of one workspace's overload on the latency of the others."""

import asyncio
import json
import pathlib
import sys
import tempfile
from typing import Annotated

import attrs
import typer

REPOSITORY = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(REPOSITORY))

from bench.figures import Case  # noqa: E402
from bench.fleet import KEYS, Fleet, Load, plan_site  # noqa: E402
from kelproad.cli.loadgen import run_load  # noqa: E402
from kelproad.cli.loadreport import Report  # noqa: E402
from testbed.site import start_site  # noqa: E402

_TIME_SCALE = 4.0
_ENGINES = 6
_OUTPUT = pathlib.Path('build/bench')


def main(
    others: Annotated[
        float, typer.Option(help='Load of the others, share of capacity.')
    ] = 0.3,
    flood: Annotated[
        float, typer.Option(help='Load of the flood, share of capacity.')
    ] = 1.5,
    seconds: Annotated[float, typer.Option()] = 25.0,
    deadline: Annotated[float, typer.Option()] = 6.0,
    output: Annotated[pathlib.Path, typer.Option()] = _OUTPUT,
) -> None:
    """Send the others' load alone, then together with a flood."""
    plan = plan_site(
        _TIME_SCALE,
        _ENGINES,
        honours_priorities=True,
        interrupts=True,
    )
    others_load = Load(others, seconds, 1, deadline, repeated=0)
    flood_load = Load(flood, seconds, 2, deadline, repeated=0)
    with tempfile.TemporaryDirectory() as directory:
        with start_site(plan, pathlib.Path(directory)) as site:
            fleet = Fleet(site, _TIME_SCALE)
            alone = fleet.send(others_load)
            beside, flooded = asyncio.run(
                _send_both(fleet, others_load, flood_load)
            )
    figures = {
        'others alone': _summarize(alone),
        'others beside the flood': _summarize(beside),
        'flood': _summarize(flooded),
    }
    output.mkdir(parents=True, exist_ok=True)
    (output / 'fairness.json').write_text(json.dumps(figures, indent=2))
    print(json.dumps(figures, indent=2))


async def _send_both(
    fleet: Fleet,
    others_load: Load,
    flood_load: Load,
) -> tuple[Report, Report]:
    *rest, flood_key = KEYS
    first, *more = rest
    others = attrs.evolve(fleet.plan(others_load), key=first, other_keys=more)
    flood = attrs.evolve(fleet.plan(flood_load), key=flood_key, other_keys=[])
    return await asyncio.gather(run_load(others, None), run_load(flood, None))


def _summarize(report: Report) -> dict[str, object]:
    case = Case('', report.samples, report.samples, dict(report.outcomes))
    fields = case.to_fields()
    names = ('outcomes', 'short_mixed_p95', 'first_token_10k_p95')
    return {name: fields[name] for name in names}


if __name__ == '__main__':
    typer.run(main)
