"""CPU time of one routing decision by number of endpoints."""

import pathlib
import random
import statistics
import sys
import time

REPOSITORY = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(REPOSITORY))

from kelproad.coordination import routing  # noqa: E402
from kelproad.state.configuration import (  # noqa: E402
    AppliedFile,
    Snapshot,
)
from kelproad.state.declarations import (  # noqa: E402
    Deployment,
    EndpointDeclaration,
    EndpointGroup,
    EndpointKind,
    FileContent,
    Policy,
    Service,
    ServiceKind,
    Workspace,
)
from kelproad.state.endpoints import EndpointReport  # noqa: E402
from kelproad.state.endpointtable import EndpointTable  # noqa: E402
from kelproad.state.prefixes import digest_prefix  # noqa: E402
from kelproad.state.requests import Request  # noqa: E402

__all__ = ['measure_decision']

SIZES = (25, 575, 4600)
_PROMPT_TOKENS = (2_000, 40_000, 250_000)
_ZONES = 8
_ROUNDS = 7
_DECISIONS = 300
_NOW = 100.0
_MICROSECONDS = 1e6
_SERVICE = Service('reports', ServiceKind.MODEL, ['engines'], model='m')


def measure_decision(
    endpoints: int,
    prompt_tokens: int,
    policy: Policy = Policy.PREDICTED,
) -> float:
    """Return the median of several rounds, in microseconds."""
    table, snapshot = _create_table(endpoints, policy)
    generator = random.Random(1)
    request = Request(
        'r',
        Workspace('w', [], []),
        _SERVICE,
        snapshot,
        prompt_tokens,
        _NOW + 3600,
        _NOW,
        prefix=digest_prefix(memoryview(bytes(prompt_tokens * 4)), 4),
    )
    rounds = []
    for _ in range(_ROUNDS):
        started = time.perf_counter()
        for _ in range(_DECISIONS):
            routing.choose_endpoint(request, table, 'z0', _NOW, generator)
        rounds.append(time.perf_counter() - started)
    return statistics.median(rounds) / _DECISIONS * _MICROSECONDS


def _create_table(
    endpoints: int,
    policy: Policy,
) -> tuple[EndpointTable, Snapshot]:
    declared = [
        EndpointDeclaration(f'e{n}', f'z{n % _ZONES}', f'10.0.0.1:{n}')
        for n in range(endpoints)
    ]
    content = FileContent(
        'all',
        Deployment('x', [f'z{n}' for n in range(_ZONES)], policy=policy),
        services=[_SERVICE],
        endpoint_groups=[
            EndpointGroup('engines', EndpointKind.ENGINE, declared),
        ],
    )
    applied = AppliedFile('all', 1, 1, '', '', content)
    snapshot = Snapshot.from_files(1, {'all': applied})
    table = EndpointTable()
    table.replace_groups(snapshot.groups.values())
    for number, endpoint in enumerate(table.all().values()):
        report = EndpointReport(
            endpoint.name,
            '1',
            waiting_tokens=number % 7 * 3_000,
            models=['m'],
        )
        endpoint.accept_report(report, _NOW)
    return table, snapshot


def main() -> None:
    """Print a row for each policy and prompt length."""
    sizes = ''.join(f'{size:>10}' for size in SIZES)
    print(f'{"us per decision":>28}{sizes}')
    for policy in (Policy.PREDICTED, Policy.LEAST_TOKENS):
        for length in _PROMPT_TOKENS:
            costs = [measure_decision(n, length, policy) for n in SIZES]
            cells = ''.join(f'{cost:10.1f}' for cost in costs)
            print(f'{policy:>16}{length:>12}{cells}')


if __name__ == '__main__':
    main()
