"""A long run of the routed interface under random faults from a seed.

All programs run as separate processes, with a proxy in front of every endpoint
and between the store and each instance; callers reuse connections, endpoints
state request limits.  The exit code is 1 if a guarantee was violated; the logs
are then kept in the folder that is printed.
"""

import argparse
import asyncio
import collections
import contextlib
import functools
import itertools
import json
import pathlib
import shutil
import sys
import tempfile
from collections.abc import AsyncIterator, Collection

from testbed.routed import RoutedSite, start_routed_site

from .links import Link
from .routed_callers import CallRecord, RoutedCallers
from .routed_checks import check_calls, check_recovery
from .routed_confirmed import check_confirmed
from .routed_crashes import CrashingRequests, check_crashes
from .routed_cuts import is_cut_by_end, is_unanswered
from .routed_evacuations import EvacuationOrders, check_evacuations
from .routed_faults import Base, RoutedFaults, wait_for_all
from .routed_late import StoreLateness
from .routed_limits import StatedLimit, StatedLimits, check_limits
from .routed_partitions import InstanceCuts
from .routed_pauses import EndpointPauses, check_pauses
from .routed_restores import StoreRestorations, check_restorations
from .routed_rows import OddWrites, check_followers
from .routed_stops import PlannedStop
from .routed_withdrawals import StatedWithdrawals, check_withdrawals

__all__ = ['main', 'soak']

_INSTANCES = 3
_SECONDS = 30.0
#: Seconds in which excluded endpoints are retried, and rows and configuration
#: reach all instances.
_RECOVERY_SECONDS = 7.0

#: Options of the command line that choose faults, and what these do.
_FLAGS = (
    ('stops', 'Inject no faults but planned stops.'),
    ('cuts', 'Also cut instances from all endpoints.'),
    ('mute', 'Cut instances, also so that connections bring nothing.'),
    ('crashes', 'Also send requests on a part of which engines crash.'),
    ('withdrawals', 'Also let endpoints state that they leave or pause.'),
    ('restores', 'Also let the store return from copies of itself.'),
    ('late', 'Also let the store answer late, and write many routes.'),
    ('pauses', 'Also let endpoints pause and go on, beside changes of routes.'),
    ('evacuations', 'Also let operators evacuate a zone of endpoints.'),
    ('rows', 'Also write odd rows, and silence connections to the store.'),
    ('calm', 'Inject no faults but suspended instances and configurations.'),
)


async def soak(
    site: RoutedSite,
    seconds: float,
    seed: int,
    base: Base = Base.ALL,
    kinds: Collection[str] = (),
) -> list[str]:
    """Run callers and faults together, end all faults, then check.

    ``base`` limits the faults that are always injected; ``kinds`` names those
    that are injected beside them, as the options of the command line do.

    Returns
    -------
    list of str
        A line for each violated guarantee.

    Raises
    ------
    ValueError
        When there is no such kind.
    """
    _check_kinds(kinds)
    async with _open_links(site) as links:
        callers = RoutedCallers(site, seed)
        callers.key = 'first-key'
        await asyncio.to_thread(site.put_configuration, ('first-key',))
        await asyncio.sleep(1)
        faults = RoutedFaults(site, links, callers, seed, base)
        limits = StatedLimits(site, seed)
        crashing = CrashingRequests(site, callers, faults)
        withdrawals = StatedWithdrawals(site, faults, seed)
        restorations = StoreRestorations(site, faults, callers, seed)
        lateness = StoreLateness(site, faults, callers, seed)
        pauses = EndpointPauses(site, faults, callers, seed)
        evacuations = EvacuationOrders(site, seed)
        await asyncio.gather(
            callers.run(seconds),
            faults.run(seconds),
            limits.run(seconds),
            InstanceCuts(site, links, seed, 'mute' in kinds).run(
                seconds if {'cuts', 'mute'} & set(kinds) else 0, faults.spans
            ),
            crashing.run(seconds if 'crashes' in kinds else 0),
            withdrawals.run(seconds if 'withdrawals' in kinds else 0),
            restorations.run(seconds if 'restores' in kinds else 0),
            lateness.run(seconds if 'late' in kinds else 0),
            pauses.run(seconds if 'pauses' in kinds else 0),
            evacuations.run(seconds if 'evacuations' in kinds else 0),
            OddWrites(site, links, seed).run(
                seconds if 'rows' in kinds else 0, faults.spans
            ),
        )
        if 'crashes' in kinds:
            await crashing.finish()
            faults.spans.extend(crashing.list_spans())
        await asyncio.to_thread(wait_for_all, site)
        await asyncio.sleep(_RECOVERY_SECONDS)
        if 'restores' in kinds:
            await restorations.finish()
        final_calls = await callers.call_once()
        _print_summary(callers, faults, limits.limits)
        await asyncio.to_thread(_write_dumps, site)
        checks = (
            functools.partial(
                check_calls,
                site,
                callers.records,
                faults,
                [sent.request_id for sent in crashing.sent],
            ),
            functools.partial(check_recovery, site, final_calls),
            functools.partial(
                check_limits, site, callers.records, faults, limits.limits
            ),
            functools.partial(check_crashes, crashing, faults),
            functools.partial(
                check_withdrawals, callers.records, faults, withdrawals.done
            ),
            functools.partial(
                check_evacuations, callers.records, faults, evacuations.done
            ),
            functools.partial(check_restorations, site, restorations),
            functools.partial(check_followers, site),
            functools.partial(
                check_confirmed, callers.records, faults, lateness.watch.queries
            ),
            functools.partial(
                check_pauses,
                site,
                callers.records if 'pauses' in kinds else [],
                faults,
                pauses.done,
            ),
        )
        return list(
            itertools.chain.from_iterable(
                [await asyncio.to_thread(check) for check in checks]
            )
        )


@contextlib.asynccontextmanager
async def _open_links(site: RoutedSite) -> AsyncIterator[dict[str, Link]]:
    """Open proxies to endpoints and store, and start the instances."""
    links: dict[str, Link] = {}
    for name, address in site.endpoints.items():
        links[name] = Link(name, address)
        await links[name].open()
        site.advertised_addresses[name] = links[name].address
        service = 'book' if name.startswith('book') else 'writer'
        await asyncio.to_thread(site.put_endpoint_row, name, service)
    for number in range(1, _INSTANCES + 1):
        link = Link(f'store of edge-{number}', site.store)
        await link.open()
        links[link.name] = link
        await asyncio.to_thread(
            site.start_instance,
            f'edge-{number}',
            f'zone-{number % 2}',
            link.address,
        )
    try:
        yield links
    finally:
        for link in links.values():
            link.close()


def _write_dumps(site: RoutedSite) -> None:
    """Write what the instances know after the final calls beside the logs."""
    for instance in site.instances:
        path = site.directory / f'{instance.name}.dump.json'
        path.write_text(json.dumps(instance.dump(), indent=1))


def _print_summary(
    callers: RoutedCallers,
    faults: RoutedFaults,
    limits: list[StatedLimit],
) -> None:
    for span in faults.spans:
        duration = span.ended - span.began
        print(
            f'  {span.began:.2f} {span.name}: {span.subject}, {duration:.1f} s',
        )
    outcomes = collections.Counter(
        f'{item.kind} {item.status}{"" if item.whole else " broken"}'
        for item in callers.records
    )
    for label, count in sorted(outcomes.items()):
        print(f'{count:6} {label}')
    for limit in limits:
        print(f'  {limit.began:.2f} {limit.endpoint} limits to {limit.rate}/s')
    for stop in faults.stops:
        _print_stop(stop, callers.records)


def _check_kinds(kinds: Collection[str]) -> None:
    """Refuse to run without faults that were meant to be injected.

    Raises
    ------
    ValueError
        When there is no such kind.
    """
    unknown = set(kinds) - {flag for flag, _ in _FLAGS}
    if unknown:
        raise ValueError(f'no kinds of faults: {unknown}')


def _print_stop(stop: PlannedStop, records: list[CallRecord]) -> None:
    """Print a stop, with the calls that it truncated or left unanswered."""
    cut = sum(is_cut_by_end(item, stop) for item in records)
    unanswered = [
        f'{item.sent_at - stop.terminated_at:.2f} s, {item.connection}'
        for item in records
        if is_unanswered(item, stop)
    ]
    duration = stop.ended_at - stop.terminated_at
    print(
        f'  {stop.terminated_at:.2f} stop of {stop.instance}: '
        f'{duration:.2f} s,',
        f'exit code {stop.code}, {cut} truncated at its end,',
        f'no answer: {"; ".join(unanswered) or "none"}',
    )


def _choose_base(options: argparse.Namespace) -> Base:
    if options.stops:
        return Base.STOPS
    return Base.CALM if options.calm else Base.ALL


def main() -> int:
    """Run with the options of the command line; return the exit code."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--seconds', type=float, default=_SECONDS)
    parser.add_argument('--seed', type=int, default=1)
    for flag, told in _FLAGS:
        parser.add_argument(f'--{flag}', action='store_true', help=told)
    options = parser.parse_args()
    directory = pathlib.Path(tempfile.mkdtemp(prefix='kelproad-soak-'))
    with start_routed_site(directory, 0) as site:
        broken = asyncio.run(
            soak(
                site,
                options.seconds,
                options.seed,
                _choose_base(options),
                [flag for flag, _ in _FLAGS if getattr(options, flag)],
            ),
        )
    for line in broken:
        print(f'BROKEN: {line}')
    print(f'seed {options.seed}: {len(broken)} guarantees violated')
    if broken:
        print(f'logs: {directory}')
    else:
        shutil.rmtree(directory)
    return 1 if broken else 0


if __name__ == '__main__':
    sys.exit(main())
