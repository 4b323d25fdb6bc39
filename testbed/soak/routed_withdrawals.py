"""Endpoints that state that they leave or pause, and what they then get."""

import asyncio
import itertools
import random
import time

import attrs

from testbed.calls import CallError
from testbed.routed import RoutedSite

from .routed_callers import CallRecord
from .routed_faults import RoutedFaults, list_interruptions

__all__ = ['StatedWithdrawals', 'Withdrawal', 'check_withdrawals']

#: Bounds of the seconds for which something is stated, and between two.
_STATED_SECONDS = (3.0, 6.0)
_GAP_SECONDS = (0.5, 2.0)
_PAUSES = (1.0, 2.0, 4.0)
#: Every n-th answer states it, or every n-th call is turned away.
_EVERY = (1, 1, 3)
#: Seconds after an instance was told that an endpoint leaves, after which it
#: may send there nothing that callers send later.
_DRAIN_SECONDS = 2.0
#: Seconds after an instance was turned away from which on it may send two more
#: calls at most, until the end of the pause.
_NOTICE_SECONDS = 0.5
_MAX_DURING_PAUSE = 2


@attrs.frozen
class Withdrawal:
    """What an endpoint stated, monotonic begin and end, and its arrivals.

    ``pause`` is in seconds, 0 for one that stated that it leaves.
    """

    endpoint: str
    pause: float
    began: float
    ended: float
    arrivals: list[dict[str, object]]


class StatedWithdrawals:
    """Lets endpoints leave and pause, beside any other faults."""

    def __init__(
        self, site: RoutedSite, faults: RoutedFaults, seed: int
    ) -> None:
        """Choose endpoints, statements and times from a seed."""
        self._site = site
        self._faults = faults
        self._random = random.Random(seed)
        self._incarnations = itertools.count(2)
        self.done: list[Withdrawal] = []

    async def run(self, seconds: float) -> None:
        """State withdrawals for ``seconds``; none is stated on return."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            with self._faults.reserve(list(self._site.endpoints)) as name:
                if name:
                    await self._state_one(name)
            await asyncio.sleep(self._random.uniform(*_GAP_SECONDS))

    async def _state_one(self, name: str) -> None:
        """Let an endpoint leave or pause; then it is another incarnation.

        Its row goes on saying that it is ready.
        """
        every = self._random.choice(_EVERY)
        pause = self._random.choice((0, *_PAUSES))
        statements: dict[str, object] = (
            {'pause': str(pause), 'turn_away_every': every}
            if pause
            else {'leaving': '1', 'leaving_every': every}
        )
        began = time.monotonic()
        try:
            await asyncio.to_thread(
                self._site.set_statements, name, **statements
            )
            await asyncio.sleep(self._random.uniform(*_STATED_SECONDS))
            shown = await asyncio.to_thread(self._site.show_endpoint, name)
            await asyncio.to_thread(self._site.set_statements, name)
            await asyncio.to_thread(
                self._site.renew_endpoint, name, next(self._incarnations)
            )
        except (CallError, OSError):
            # It has crashed meanwhile, and forgotten what it stated.
            return
        self.done.append(
            Withdrawal(name, pause, began, time.monotonic(), shown['arrivals'])
        )


def check_withdrawals(
    records: list[CallRecord],
    faults: RoutedFaults,
    withdrawals: list[Withdrawal],
) -> list[str]:
    """Return a line for each endpoint that got calls it did not want."""
    callers = {item.request_id: item for item in records}
    broken: list[str] = []
    for withdrawal in withdrawals:
        find = _find_late_pausing if withdrawal.pause else _find_late_leaving
        late = find(withdrawal, callers, faults)
        if late:
            kind = (
                f'pauses {withdrawal.pause} s' if withdrawal.pause else 'leaves'
            )
            broken.append(
                f'{withdrawal.endpoint} {kind} from {withdrawal.began:.2f} and '
                f'got calls after it had said so: {late}'
            )
    return broken


def _find_late_leaving(
    withdrawal: Withdrawal,
    callers: dict[str, CallRecord],
    faults: RoutedFaults,
) -> list[str]:
    """Find calls sent too late after their instance was told."""
    told: dict[str, float] = {}
    for item in callers.values():
        is_told = withdrawal.began < item.told_leaving_at < withdrawal.ended
        if is_told and f'.{withdrawal.endpoint}.' in item.stamp:
            before = told.get(item.instance, item.told_leaving_at)
            told[item.instance] = min(before, item.told_leaving_at)
    return [
        f'{item.request_id} from {item.instance}'
        for item, at in _list_arrivals(withdrawal, callers)
        if item.instance in told
        and item.sent_at > told[item.instance] + _DRAIN_SECONDS
        and not _is_excused(item.instance, told[item.instance], at, faults)
    ]


def _find_late_pausing(
    withdrawal: Withdrawal,
    callers: dict[str, CallRecord],
    faults: RoutedFaults,
) -> list[str]:
    """Find the calls beyond two in a pause, at the instance turned away."""
    turned_away = {
        arrival['request']
        for arrival in withdrawal.arrivals
        if arrival['turned_away']
    }
    arrivals = _list_arrivals(withdrawal, callers)
    late: list[str] = []
    for first, began in arrivals:
        if first.request_id not in turned_away:
            continue
        during = [
            item.request_id
            for item, at in arrivals
            if item.instance == first.instance
            and began + _NOTICE_SECONDS < at < began + withdrawal.pause
            and not _is_excused(item.instance, began, at, faults)
        ]
        if len(during) > _MAX_DURING_PAUSE:
            late.append(f'{first.instance} after {first.request_id}: {during}')
    return late


def _list_arrivals(
    withdrawal: Withdrawal, callers: dict[str, CallRecord]
) -> list[tuple[CallRecord, float]]:
    """List the callers' calls that arrived meanwhile, and when."""
    return [
        (callers[arrival['request']], arrival['at'])
        for arrival in withdrawal.arrivals
        if arrival['at'] >= withdrawal.began and arrival['request'] in callers
    ]


def _is_excused(
    instance: str, since: float, until: float, faults: RoutedFaults
) -> bool:
    """Return whether an instance was frozen or started again meanwhile."""
    return any(
        began <= until and ended >= since
        for began, ended in list_interruptions(faults, instance)
    )
