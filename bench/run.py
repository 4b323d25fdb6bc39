"""Benchmark of the routing policies on one site, with bounds on ratios.

All policies get the same arrivals in short alternating rounds, so that changes
in the load of the machine affect all of them alike.
"""

import json
import os
import pathlib
import sys
import tempfile
from typing import Annotated

import typer

REPOSITORY = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(REPOSITORY))

from bench.figures import (  # noqa: E402
    SHORT_TOKENS,
    Case,
    check_bounds,
    draw_plot,
    format_cases,
)
from bench.fleet import Fleet, Load, plan_site  # noqa: E402
from testbed.site import start_site  # noqa: E402

BOUNDS = REPOSITORY / 'bench' / 'bounds.yaml'
_ALL_POLICIES = 'round_robin,least_requests,least_tokens,predicted'
_DEFAULT_WEIGHT = 0.7
_OUTPUT = pathlib.Path('build/bench')


def main(
    policy: Annotated[
        str,
        typer.Option(
            help='Comma-separated, each with an optional :WEIGHT of slowdown.'
        ),
    ] = _ALL_POLICIES,
    share: Annotated[
        float, typer.Option(help='Load, share of capacity.')
    ] = 0.8,
    seconds: Annotated[float, typer.Option(help='Length of a round.')] = 20.0,
    rounds: Annotated[int, typer.Option()] = 2,
    engines: Annotated[int, typer.Option()] = 6,
    time_scale: Annotated[float, typer.Option()] = 4.0,
    interrupts: Annotated[bool, typer.Option()] = True,
    priorities: Annotated[bool, typer.Option()] = True,
    fault: Annotated[str, typer.Option(help='none, slow or third.')] = 'none',
    output: Annotated[pathlib.Path, typer.Option()] = _OUTPUT,
) -> None:
    """Run, write result.json and plot.png, and check the bounds."""
    plan = plan_site(time_scale, engines, priorities, interrupts)
    cases = {name: Case(name) for name in policy.split(',')}
    with tempfile.TemporaryDirectory() as directory:
        with start_site(plan, pathlib.Path(directory)) as site:
            fleet = Fleet(site, time_scale)
            fleet.declare_priorities(priorities)
            fleet.inject_fault(fault)
            for number in range(rounds):
                load = Load(share, seconds, seed=number + 1)
                for case in cases.values():
                    _run_round(fleet, case, load)
    figures = {name: case.to_fields() for name, case in cases.items()}
    output.mkdir(parents=True, exist_ok=True)
    (output / 'result.json').write_text(json.dumps(figures, indent=2))
    draw_plot(figures, output / 'plot.png')
    print(format_cases(figures))
    key = f'load-{round(share * 100)}' if fault == 'none' else fault
    verdicts = check_bounds(BOUNDS, key, figures)
    print('\n'.join(verdicts))
    if any(line.startswith('FAILED') for line in verdicts):
        sys.exit(1)


def _run_round(fleet: Fleet, case: Case, load: Load) -> None:
    policy, _, slowdown = case.policy.partition(':')
    fleet.apply_policy(policy, float(slowdown or _DEFAULT_WEIGHT))
    alone = fleet.send(load, SHORT_TOKENS)
    before = fleet.count_attempts()
    mixed = fleet.send(load)
    dispatched = fleet.count_attempts() - before
    case.take(alone, mixed, dispatched)
    busy, _, _ = os.getloadavg()
    print(
        f'{case.policy}: seed {load.seed}, {mixed.sent} sent, '
        f'{dict(mixed.outcomes)}, load average of the machine {busy:.1f}',
        flush=True,
    )


if __name__ == '__main__':
    typer.run(main)
