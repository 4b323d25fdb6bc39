"""Costs of endpoints that leave or pause, by the number of engines and peers.

``python -m bench.withdrawals`` prints the time of a choice among engines some
of which leave or pause, and what one notice costs its sender.
"""

import asyncio
import random
import time
import types

from kelproad.coordination.ingress.membership.messages import (
    LeavingNotice,
    ReportedLeaving,
    encode_message,
)
from kelproad.coordination.ingress.placing.placement import NoPlacementError
from kelproad.coordination.ingress.withdrawing.notices import LeavingNotices
from kelproad.state.declarations import (
    EndpointDeclaration,
    EndpointGroup,
    EndpointKind,
)
from kelproad.transport.deadlines import monotonic
from tests.ingress.test_limited_placement import Site

_ENGINES = (23, 400, 4600)
_SHARES = (0, 0.1, 0.5, 1)
_PEERS = (8, 411)
_CHOICES = 200
_MICROSECONDS = 1_000_000


def build_site(engines: int, share: float) -> Site:
    """Build a chooser over engines of which a share leave or pause."""
    site = Site()
    declarations = [
        EndpointDeclaration(f'e-{number}', 'a', '10.0.0.1:80', slots=8)
        for number in range(engines)
    ]
    group = EndpointGroup('book', EndpointKind.ENGINE, declarations)
    site.table.replace_groups([group])
    now = monotonic()
    for number in range(int(engines * share)):
        withdrawal = site.table.keep_withdrawal(f'e-{number}', '', now)
        if number % 2:
            withdrawal.state_leaving(now - 1)
        else:
            withdrawal.pause(now + 1000)
    return site


async def measure_choice(site: Site) -> float:
    """Return the mean microseconds of a choice, refusals included."""
    began = time.perf_counter()
    for _ in range(_CHOICES):
        try:
            await site.place()
        except NoPlacementError as error:
            assert not error.worth_waiting
    return (time.perf_counter() - began) / _CHOICES * _MICROSECONDS


def measure_notice(peers: int) -> tuple[int, float]:
    """Return the bytes of a notice, and the microseconds to encode it all."""
    reported = ReportedLeaving('i-7a7cc84691', '1789352763782', 0.001)
    sizes: list[int] = []

    def announce(kind: object, _host: str) -> None:
        notice: LeavingNotice = kind(0, '10.0.0.1', 'zone-a')
        sizes.append(len(encode_message(notice)))

    site = build_site(1, 1)
    hosts = [f'10.0.{number // 256}.{number % 256}' for number in range(peers)]
    notices = LeavingNotices(
        site.table,
        types.SimpleNamespace(announce=announce),
        types.SimpleNamespace(list_hosts=lambda: hosts),
        None,
        random.Random(1),
    )
    site.table.keep_withdrawal(
        reported.endpoint, reported.incarnation, 0
    ).state_leaving(0)
    began = time.perf_counter()
    notices.announce(reported.endpoint, reported.incarnation)
    seconds = time.perf_counter() - began
    return sizes[0], seconds * _MICROSECONDS


async def main() -> None:
    """Print the figures."""
    for engines in _ENGINES:
        for share in _SHARES:
            spent = await measure_choice(build_site(engines, share))
            print(f'{engines:5} engines, {share:4} withdrawn: {spent:8.0f} us')
    for peers in _PEERS:
        size, spent = measure_notice(peers)
        print(f'{peers:5} peers: {size} bytes each, {spent:.0f} us')


if __name__ == '__main__':
    asyncio.run(main())
