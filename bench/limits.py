"""Ways to share an endpoint's request limit among instances, compared.

Run as ``python -m bench.limits``.  Calls arrive at random at all instances, or
at a fifth of them; each starts at the endpoint if its instance finds that the
limit permits it, and goes elsewhere otherwise.
"""

import bisect
import collections
import random
import time
from collections.abc import Callable

from kelproad.coordination.ingress.limiting.coordinators import (
    CoordinatorSelector,
)
from kelproad.coordination.ingress.membership.peers import PeerRegister
from kelproad.coordination.ingress.membership.reachability import (
    ZoneReachability,
)
from kelproad.coordination.ingress.membership.updates import PeerUpdate
from kelproad.coordination.ingress.settings import NodeSettings
from kelproad.coordination.ingress.tables.readers import Reader
from kelproad.state.startschedules import StartSchedule
from kelproad.transport.addresses import Address

_SIZES = (9, 85, 195, 412)
_RATES = (1.0, 5.0)
_SECONDS = 60.0
#: Calls per second of the fleet for each start per second that is permitted.
_DEMAND_FACTOR = 10
#: Calls per second of an instance that consider the endpoint at least.
_MIN_CALLS = 0.5
_WINDOW = 4.0
#: Seconds until a start is known in its zone, from the period of reports.
_REPORT_SECONDS = 0.02
_ZONES = 3
#: Queries that a coordinator answers, and seconds between two of them.
_ROUNDS = 2000
_QUERY_SECONDS = 0.001

#: Decides whether an instance may start a call at a time.
Way = Callable[[int, float], bool]


class EqualShares:
    """Each instance has an equal part; nothing is said."""

    def __init__(self, instances: int, rate: float) -> None:
        """Let the parts begin at random."""
        self.datagrams = 0
        self._spacing = instances / rate
        self._schedules = [
            StartSchedule(self._spacing, random.uniform(0, self._spacing))
            for _ in range(instances)
        ]

    def may_start(self, instance: int, now: float) -> bool:
        """Return whether the instance's own part permits a start."""
        return self._schedules[instance].reserve(self._spacing, 0, now).granted


class ReportedStarts:
    """Each instance counts the starts of all, as far as it knows them."""

    def __init__(self, instances: int, rate: float) -> None:
        """Start without any starts; reports are sent in any case."""
        self.datagrams = 0
        self._spacing = 1 / rate
        self._next_at = float(0)
        self._unreported: collections.deque[tuple[float, int]] = (
            collections.deque()
        )

    def may_start(self, instance: int, now: float) -> bool:
        """Return whether no start is known that forbids another one."""
        while (
            self._unreported and self._unreported[0][0] < now - _REPORT_SECONDS
        ):
            self._unreported.popleft()
            self._next_at = max(self._next_at, now - _REPORT_SECONDS)
            self._next_at += self._spacing
        own = any(other == instance for _, other in self._unreported)
        if own or now < self._next_at:
            return False
        self._unreported.append((now, instance))
        return True


class OneGrants:
    """One instance grants all starts; others query it and keep its answer."""

    def __init__(self, instances: int, rate: float) -> None:
        """Let the first instance grant."""
        self.datagrams = 0
        self._spacing = 1 / rate
        self._schedule = StartSchedule(self._spacing, 0)
        self._expected_at = [float(0) for _ in range(instances)]

    def may_start(self, instance: int, now: float) -> bool:
        """Query the granting instance if a start is expected."""
        if now < self._expected_at[instance]:
            return False
        grant = self._schedule.reserve(self._spacing, 0, now)
        self._expected_at[instance] = now + grant.next_wait
        self.datagrams += 2 if instance else 0
        return grant.granted


def simulate(
    way: Way, instances: int, rate: float, calling: int
) -> list[float]:
    """Return the times of the starts while some instances get calls."""
    generator = random.Random(instances)
    calls = max(rate * _DEMAND_FACTOR, instances * _MIN_CALLS)
    starts = []
    now = float(0)
    while now < _SECONDS:
        now += generator.expovariate(calls)
        if way(generator.randrange(calling), now):
            starts.append(now)
    return starts


def count_most(starts: list[float]) -> int:
    """Count the most starts in any window."""
    return max(
        (
            bisect.bisect_left(starts, at + _WINDOW) - index
            for index, at in enumerate(starts)
        ),
        default=0,
    )


def measure_selection(instances: int) -> float:
    """Return the microseconds that selecting a coordinator takes a query."""
    settings = NodeSettings(
        'edge-0',
        'zone-0',
        '10.0.0.0',
        *(Address('10.0.0.0', 1),) * 2,
        1,
        Address('10.0.0.0', 2),
    )
    peers = PeerRegister(settings, ZoneReachability())
    for number in range(1, instances):
        zone = f'zone-{number % _ZONES}'
        host = f'10.0.{number // 250}.{number % 250}'
        update = PeerUpdate(f'edge-{number}', host, zone, 1, 1, False, 0, [])
        peers.accept(update, 0)
    own = Reader('edge-0', '10.0.0.0', 'zone-0')
    selector = CoordinatorSelector(lambda: own, peers)
    began = time.process_time()
    for number in range(_ROUNDS):
        selector.select('engine', 'zone-0', number * _QUERY_SECONDS)
    return (time.process_time() - began) / _ROUNDS * 1_000_000


def main() -> None:
    """Print a line for each way, size, limit and distribution of calls."""
    random.seed(1)
    for instances in _SIZES:
        print(f'{instances}: select {measure_selection(instances):.0f} us')
        for rate in _RATES:
            for calling in (instances, max(1, instances // 5)):
                for kind in (EqualShares, ReportedStarts, OneGrants):
                    way = kind(instances, rate)
                    starts = simulate(way.may_start, instances, rate, calling)
                    allowed = 1.5 * rate * _WINDOW + 5
                    print(
                        f'{instances:4} {calling:4} calling, {rate}/s '
                        f'{kind.__name__:15} most {count_most(starts):3} of '
                        f'{allowed:.0f}, used '
                        f'{len(starts) / rate / _SECONDS:.2f}, datagrams/s '
                        f'{way.datagrams / _SECONDS:.1f}'
                    )


if __name__ == '__main__':
    main()
