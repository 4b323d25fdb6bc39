"""Endpoints that pause and go on, and whether answers came whole."""

import asyncio
import contextlib
import random
import time

import attrs

from testbed.calls import CallError
from testbed.pauses import Silence, pause_endpoint
from testbed.routed import RoutedSite

from .links import LinkFault
from .routed_callers import CallRecord, RoutedCallers
from .routed_checks import list_runs
from .routed_faults import RoutedFaults, Span
from .routed_partitions import INSTANCE_CUT

__all__ = ['EndpointPauses', 'Pause', 'check_pauses']

#: Bounds of the seconds of a silence, most of which are short, for which
#: silences within answers are set, between two pauses, and between two changes
#: of the routes.
_MIN_SECONDS = 0.3
_MAX_SECONDS = 4.0
_SET_SECONDS = (1.0, 3.0)
_GAP_SECONDS = (0.2, 1.0)
_CHANGE_SECONDS = (0.3, 2.0)
#: Places before which an answer pauses: none, for a pause from now on; the
#: head, events, the last event, and two of them.
_ONCE: tuple[int, ...] = ()
_WITHIN = ((0,), (4,), (-1,), (0, -1), (2, 5), (10, 30))
_POSITIONS = (_ONCE, _ONCE, _ONCE, *_WITHIN)
#: Numbers of calls that a pause affects; negative for all.
_CALLS = (-1, -1, -1, 1)
_STREAMS = ('reports', 'fragile', 'long-reports', 'long-fragile')
#: Timeouts of routes in milliseconds, none below a deadline of a caller.
_TIMEOUTS = (10_500, 12_000, 20_000)
_ATTEMPTS = (2, 2, 3)
#: Seconds before a deadline at which a call may be ended.
_TIME_LEFT = 0.5
#: Seconds before and after a stop, kill or crash is noticed here.
_MARGIN = 0.5
#: Longest time between two events while an endpoint or its link is slow.
_SLOW_PACE = 0.5
_PACE = 0.06
_ERROR = 500
_ENDPOINT_FAULTS = frozenset(('endpoint killed', 'endpoint fails'))
_INSTANCE_FAULTS = frozenset((INSTANCE_CUT, 'instance killed'))
_LINK_HARMED = 'link harmed'
_SLIGHT_HARMS = frozenset((LinkFault.NONE.value, LinkFault.DELAYED.value))


@attrs.frozen
class Pause:
    """Endpoints that paused, how, and monotonic begin and end."""

    endpoints: frozenset[str]
    silence: Silence
    began: float
    ended: float

    def count_rest(self, item: CallRecord, endpoint: str) -> float:
        """Count the seconds that were left of it to a call at an endpoint."""
        deadline = item.sent_at + item.deadline
        if endpoint not in self.endpoints or self.began > deadline:
            return 0
        if not self.silence.positions:
            begin = max(self.began, item.ended_at)
            return max(0, min(self.ended, deadline) - begin)
        if self.ended < (item.heard_at or item.sent_at):
            return 0
        received = len(item.marked_events) if item.status else -1
        places = [
            item.events + 1 + position if position < 0 else position
            for position in self.silence.positions
        ]
        ahead = sum(received < place <= item.events for place in places)
        past = item.ended_at - (item.heard_at or item.sent_at)
        return max(0, ahead * self.silence.seconds - past)


class EndpointPauses:
    """Pauses endpoints beside changes of the configuration."""

    def __init__(
        self,
        site: RoutedSite,
        faults: RoutedFaults,
        callers: RoutedCallers,
        seed: int,
    ) -> None:
        """Choose endpoints, silences and times from a seed."""
        self._site = site
        self._faults = faults
        self._callers = callers
        self._random = random.Random(seed)
        self._changes = random.Random(seed)
        self.done: list[Pause] = []

    async def run(self, seconds: float) -> None:
        """Pause for ``seconds``; nothing pauses on return."""
        end = time.monotonic() + seconds
        await asyncio.gather(self._pause_until(end), self._change_until(end))

    async def _pause_until(self, end: float) -> None:
        while time.monotonic() < end:
            names = list(self._site.endpoints)
            count = self._random.choice((1, 1, 2, len(names)))
            chosen = frozenset(self._random.sample(names, count))
            share = self._random.random() ** 2
            silence = Silence(
                _MIN_SECONDS + share * (_MAX_SECONDS - _MIN_SECONDS),
                self._random.choice(_POSITIONS),
                self._random.choice((False, True)),
                self._random.choice(_CALLS),
            )
            began = time.monotonic()
            await self._pause(chosen, silence)
            duration = silence.seconds
            if silence.positions:
                duration = self._random.uniform(*_SET_SECONDS)
            await asyncio.sleep(duration)
            await self._pause(chosen, Silence())
            self.done.append(Pause(chosen, silence, began, time.monotonic()))
            await asyncio.sleep(self._random.uniform(*_GAP_SECONDS))

    async def _pause(self, names: frozenset[str], silence: Silence) -> None:
        await asyncio.gather(
            *(
                asyncio.to_thread(self._pause_one, name, silence)
                for name in names
            )
        )

    def _pause_one(self, name: str, silence: Silence) -> None:
        # One that was killed, or is restarted, has no silence.
        with contextlib.suppress(OSError, CallError):
            pause_endpoint(self._site, name, silence)

    async def _change_until(self, end: float) -> None:
        """Change routes of calls in progress, as operators do."""
        while time.monotonic() < end:
            await asyncio.sleep(self._changes.uniform(*_CHANGE_SECONDS))
            changed = {
                name: {
                    'route_type': 'streaming',
                    'stream_resume': name.endswith('reports'),
                    'timeout_ms': self._changes.choice(_TIMEOUTS),
                    'max_attempts': self._changes.choice(_ATTEMPTS),
                }
                for name in _STREAMS
            }
            with self._faults.reserve(['operator']) as operator:
                if operator:
                    await asyncio.to_thread(
                        self._site.put_configuration,
                        (self._callers.key,),
                        **changed,
                    )


def check_pauses(
    site: RoutedSite,
    records: list[CallRecord],
    faults: RoutedFaults,
    pauses: list[Pause],
) -> list[str]:
    """Return a line for each call that an endpoint had begun and that is lost.

    A spent retry budget, a silence or a suspended instance excuses none.
    """
    runs = list_runs(site, faults)
    lost: list[str] = []
    for item in records:
        names = _list_endpoints(item, runs.get(item.request_id, []))
        if not (names and _is_lost(item)):
            continue
        serving = _list_serving(item, names)
        excused = _is_ended(item, serving, faults)
        if not (excused or _is_late(item, serving, faults, pauses)):
            lost.append(
                f'{item.request_id} {item.kind}: begun by {sorted(names)}, '
                f'ended after {item.ended_at - item.sent_at:.2f} of '
                f'{item.deadline:.0f} s; {attrs.evolve(item, body="")}'
            )
    return lost


def _list_endpoints(item: CallRecord, runs: list[str]) -> frozenset[str]:
    """List the endpoints that began a call, also if its answer alone tells."""
    stamped = item.stamp.split('.')[1:2]
    sent = [event.endpoint for event in item.marked_events]
    return frozenset((*runs, *stamped, *sent))


def _is_lost(item: CallRecord) -> bool:
    """Return whether an answer is incomplete or an instance's error."""
    failed = item.status >= _ERROR and not item.stamp
    return not item.whole or failed


def _list_serving(item: CallRecord, names: frozenset[str]) -> frozenset[str]:
    """List who sent the last event; before the first, all that had begun."""
    sent = item.marked_events
    return frozenset((sent[-1].endpoint,)) if sent else names


def _is_ended(
    item: CallRecord, serving: frozenset[str], faults: RoutedFaults
) -> bool:
    """Return whether a fault ended the instance, path or endpoints of a call.

    Those are ended that sent the last event; before it, all that had begun.
    """
    meanwhile = [
        span
        for span in faults.spans
        if span.began < item.ended_at and item.sent_at < span.ended
    ]
    ended_instances = {
        span.subject for span in meanwhile if span.name in _INSTANCE_FAULTS
    }
    ended_instances |= {
        stop.instance
        for stop in faults.stops
        if stop.terminated_at < item.ended_at + _MARGIN
        and item.sent_at < stop.ready_again_at
    }
    harmed = {_find_ended_endpoint(span) for span in meanwhile}
    return item.instance in ended_instances or serving <= harmed


def _find_ended_endpoint(span: Span) -> str:
    """Return the endpoint whose answers a fault ended; empty if none."""
    name, _, harm = span.subject.partition(': ')
    ends = span.name in _ENDPOINT_FAULTS and 'pace' not in harm
    if span.name == _LINK_HARMED:
        ends = harm not in _SLIGHT_HARMS
    return name if ends else ''


def _is_late(
    item: CallRecord,
    serving: frozenset[str],
    faults: RoutedFaults,
    pauses: list[Pause],
) -> bool:
    """Return whether nobody could have ended a call in the time left."""
    slow = any(
        span.subject.partition(': ')[0] in serving
        and span.began < item.ended_at < span.ended
        for span in faults.spans
    )
    missing = item.events - len(item.marked_events)
    silent = min(
        sum(pause.count_rest(item, name) for pause in pauses)
        for name in serving
    )
    pace = _SLOW_PACE if slow else _PACE
    needed = silent + missing * pace
    return item.sent_at + item.deadline < item.ended_at + needed + _TIME_LEFT
