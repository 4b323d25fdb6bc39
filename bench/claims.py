"""Platform writes per claimed request at rising rates, one instance.

Run with ``python -m bench.claims``; it starts a site of its own.
"""

import asyncio
import pathlib
import tempfile
import time

import aiohttp
import attrs

from testbed.site import Site, SitePlan, start_site

_EXAMPLE = pathlib.Path(__file__).parent.parent / 'examples' / 'roadgrip'
_API_KEY = 'example-key-crews-colombo'
_RATES = (1, 10, 100)
_SECONDS = 10
#: Seconds by which the platform delays answers, as one in the same region.
_PLATFORM_DELAY = 0.005
_WRITES = 'POST /tables/transact'


@attrs.frozen
class RateResult:
    """Result of a run at one rate; ``times`` are in seconds."""

    rate: int
    answered: int
    writes: int
    times: list[float]

    def __str__(self) -> str:
        """Format as a row of the table in ``docs/design/claims.md``."""
        times = sorted(self.times)
        median, p95 = times[len(times) // 2], times[int(len(times) * 0.95)]
        return (
            f'| {self.rate} | {self.answered} | {self.writes} '
            f'| {self.writes / self.answered:.2f} '
            f'| {median * 1000:.1f} | {p95 * 1000:.1f} |'
        )


def measure(site: Site, rate: int) -> RateResult:
    """Send calls with idempotency keys evenly to the first instance."""
    before = _count_writes(site)
    times = asyncio.run(_send(site.callers[0], rate))
    return RateResult(rate, len(times), _count_writes(site) - before, times)


async def _send(caller: str, rate: int) -> list[float]:
    async with aiohttp.ClientSession() as session:
        calls = []
        for number in range(rate * _SECONDS):
            calls.append(
                asyncio.create_task(_book(session, caller, f'{rate}-{number}')),
            )
            await asyncio.sleep(1 / rate)
        return await asyncio.gather(*calls)


async def _book(
    session: aiohttp.ClientSession,
    caller: str,
    key: str,
) -> float:
    started = time.monotonic()
    async with session.post(
        f'http://{caller}/services/test-runs/entries',
        json={'reference': key},
        headers={
            'Authorization': f'Bearer {_API_KEY}',
            'Idempotency-Key': key,
        },
    ) as response:
        response.raise_for_status()
        await response.read()
    return time.monotonic() - started


def _count_writes(site: Site) -> int:
    calls = site.control(site.platform_address, 'GET', '/control/calls')
    return int(calls.get(_WRITES, 0))


def main() -> None:
    """Print a table row for each rate."""
    plan = SitePlan(example=_EXAMPLE, endpoints_per_group=1)
    with tempfile.TemporaryDirectory() as directory:
        with start_site(plan, pathlib.Path(directory)) as site:
            site.set_faults(site.platform_address, delay=_PLATFORM_DELAY)
            print(
                '| requests/s | answered | writes | per request | p50 | p95 |'
            )
            for rate in _RATES:
                print(measure(site, rate), flush=True)


if __name__ == '__main__':
    main()
