"""Ends of engines, as the attempts that they break off show them.

An attempt breaks off when its engine ends, and also when the engine breaks off
one answer, or the connection is lost.  The engine's report decides: a new
incarnation shows an end, and so does silence while another engine answers.  One
that answers again after such a silence had only paused.

While no engine answers, an end can't be told.  It is found out later, and
calls sent to that engine meanwhile may have been sent after its end.
"""

import asyncio
import contextlib
import enum
import logging
import random
from collections.abc import Callable, Coroutine, Iterable
from typing import TypeVar

import attrs
from returns.result import Failure

from ....state.calls import Call
from ....state.counters import QuarantineMetrics
from ....state.declarations import EndpointDeclaration
from ....state.directpaths import DirectPaths
from ....state.endpoints import Endpoint
from ....state.endpointtable import EndpointTable
from ....state.quarantine import PartQuarantine
from ....state.records import record
from ....state.refusals import Ran
from ....state.suspicions import EndedCall
from ....transport.deadlines import monotonic, within_running
from ..placing.eligibility import is_withdrawn
from ..placing.memory import EngineOperations
from ..streams.answers import AttemptFailure
from .notices import PromptNotices, record_quarantined, record_withdrawn
from .rows import QuarantineRows

__all__ = ['EndObserver', 'may_have_ended']

T = TypeVar('T')

_logger = logging.getLogger(__name__)
#: Queries to an engine that may have ended, and seconds between two.
_MAX_QUERIES = 3
_QUERY_PERIOD = 0.2
#: Seconds in which an engine that is well answers a query; its report takes
#: milliseconds.  One that takes longer is checked.
_QUERY_SECONDS = 0.1
#: Other engines that are queried to tell a silent engine from a lost path.
_MAX_CONTROLS = 4
#: Seconds until each query whether an engine that has ended, or may have,
#: answers again.
_REVIVAL_DELAYS = (0.5, 1.0, 2.0, 4.0, 8.0)


class _State(enum.StrEnum):
    """What the report of an engine, or its absence, shows."""

    ALIVE = 'alive'
    ENDED = 'ended'
    UNKNOWN = 'unknown'


def may_have_ended(failure: AttemptFailure) -> bool:
    """Return whether the end of the engine explains a failure."""
    return (
        failure.arrived
        and failure.ran is not Ran.NO
        and failure.answer is None
        and not failure.blameless
    )


@attrs.define
class EndObserver:
    """Finds out whether the engines of failed attempts have ended."""

    _quarantine: PartQuarantine
    _notices: PromptNotices
    _rows: QuarantineRows
    _operations: EngineOperations
    _table: EndpointTable
    _paths: DirectPaths
    _metrics: QuarantineMetrics
    _generator: random.Random
    #: Checks in progress, by the life of the engine.
    _checks: dict[str, asyncio.Task[_State]] = attrs.field(factory=dict)
    #: Single queries in progress, by the life.
    _queries: dict[str, asyncio.Task[_State]] = attrs.field(factory=dict)
    #: Looks for another engine that answers, by the life of the silent one.
    _path_checks: dict[str, asyncio.Task[bool]] = attrs.field(factory=dict)
    #: Queries to engines that have ended, or may have, by the life.
    _watches: dict[str, asyncio.Task[None]] = attrs.field(factory=dict)
    #: Calls under which an engine may have ended, the first failure at the
    #: beginning, by the life.
    _doubted: dict[str, list[EndedCall]] = attrs.field(factory=dict)

    def suspect(
        self,
        call: Call,
        endpoint: Endpoint,
        sent_at: float,
        ended_at: float,
        parts: Iterable[str],
    ) -> EndedCall | None:
        """Record an attempt that broke off, as its engine may have ended.

        Until that is known its unproven parts are suspect.  An engine that
        leaves ends in any case, and accuses none.

        Returns
        -------
        EndedCall or None
            What the end would accuse; nothing if it would show nothing.
        """
        if endpoint.leaving:
            record(_logger, 'engine_left', endpoint=endpoint.name)
            return None
        life = _name_life(endpoint)
        if self._quarantine.has_ended_before(call.service, life, sent_at):
            return None
        if self._may_have_ended_before(life, sent_at):
            return None
        ended = EndedCall(
            call.service,
            life,
            self._quarantine.select_unproven(call.service, parts, ended_at),
            frozenset((call.workspace_name,)),
            sent_at,
            ended_at,
            fingerprint=call.fingerprint,
        )
        self._quarantine.record_end(ended, monotonic())
        self._notices.announce_end(ended)
        return ended

    async def check(
        self, call: Call, endpoint: Endpoint, ended: EndedCall
    ) -> None:
        """Find out whether an engine ended, and record it."""
        state = await self._check_once(endpoint)
        record(
            _logger,
            'engine_end_checked',
            request=call.request_id,
            endpoint=endpoint.name,
            incarnation=endpoint.declaration.incarnation,
            state=state.value,
            parts=sorted(ended.parts),
            fingerprint=ended.fingerprint,
        )
        self._metrics.engine_ends.inc({'state': state.value})
        if state is _State.ALIVE:
            self._quarantine.withdraw(ended.service, ended.engine)
            self._notices.announce_alive(ended.service, ended.engine)
        elif state is _State.ENDED:
            self._confirm(attrs.evolve(ended, confirmed=True))
            self._watch_once(call.service, endpoint)
        else:
            self._doubt(ended)
            self._watch_once(call.service, endpoint)

    async def check_unheard(
        self,
        call: Call,
        endpoint: Endpoint,
        sent_at: float,
        given_up_at: float,
    ) -> None:
        """Find out whether an engine ended under a call that was given up.

        Most are well and were only slow, so one is suspected only when it does
        not answer a query either, or at once if another one has ended under the
        same request: its caller may be sending it again.  The end accuses the
        request alone, since sound calls share its parts.
        """
        now = monotonic()
        if self._paths.is_doubtful(endpoint.declaration.address, now):
            return
        # Engines that fall silent one after the other look like mute paths.
        is_mute = self._paths.is_mute(now)
        if is_mute and not await self._reaches_another_once(endpoint):
            return
        is_repeated = self._has_ended_others(call, now)
        if not is_repeated and await self._answers_at_once(endpoint):
            return
        ended = self.suspect(call, endpoint, sent_at, given_up_at, parts=())
        if ended is not None:
            await self.check(call, endpoint, ended)

    async def _answers_at_once(self, endpoint: Endpoint) -> bool:
        """Return whether an engine answers a query as one that is well does."""
        with contextlib.suppress(asyncio.TimeoutError):
            async with within_running(_QUERY_SECONDS):
                return await self._query_once(endpoint) is _State.ALIVE
        return False

    def _has_ended_others(self, call: Call, now: float) -> bool:
        """Return whether engines may have ended under the same request."""
        requests = self._quarantine.requests
        if requests.is_empty(now):
            return False
        return requests.count(call.fingerprint, now) > 0

    def _may_have_ended_before(self, life: str, at: float) -> bool:
        """Return whether a call failed there before, and no more is known."""
        doubted = self._doubted.get(life)
        return doubted is not None and doubted[0].ended_at < at

    def _doubt(self, ended: EndedCall) -> None:
        """Remember a call under which its engine may have ended."""
        if not self._may_have_ended_before(ended.engine, ended.sent_at):
            self._doubted.setdefault(ended.engine, []).append(ended)

    def _confirm(self, ended: EndedCall) -> None:
        quarantined = self._quarantine.record_end(ended, monotonic())
        record_quarantined(ended, quarantined)
        self._notices.announce_end(ended)
        requests = filter(None, (ended.fingerprint,))
        accused = ended.parts.union(quarantined, requests)
        self._rows.keep(ended.service, accused)

    def _watch_once(self, service: str, endpoint: Endpoint) -> None:
        """Watch an engine that seems to have ended, once for all attempts."""
        life = _name_life(endpoint)
        if life in self._watches:
            return
        watch = asyncio.create_task(
            self._watch(service, endpoint, endpoint.declaration)
        )
        self._watches[life] = watch
        watch.add_done_callback(lambda _: self._end_watch(life))

    def _end_watch(self, life: str) -> None:
        """Forget what was not found out; the next call checks anew."""
        self._watches.pop(life, None)
        self._doubted.pop(life, None)

    async def _watch(
        self, service: str, endpoint: Endpoint, ended: EndpointDeclaration
    ) -> None:
        """Withdraw an end if the same life of the engine answers again.

        Another life confirms the end, by the calls that failed first.
        """
        life = _name_life(endpoint)
        for delay in _REVIVAL_DELAYS:
            await asyncio.sleep(delay)
            queried_at = monotonic()
            answered = await self._operations.read_incarnation(ended.address)
            if isinstance(answered, Failure):
                continue
            if answered.unwrap() not in {'', ended.incarnation}:
                for call in self._doubted.get(life, ()):
                    self._confirm(attrs.evolve(call, confirmed=True))
            elif answered.unwrap():
                self._revive(service, life, queried_at)
            return

    def _revive(self, service: str, life: str, answered_at: float) -> None:
        """Withdraw the ends of a life, here and, if confirmed, everywhere."""
        if not self._quarantine.has_ended_before(service, life, answered_at):
            self._quarantine.withdraw(service, life)
            return
        barred = self._quarantine.requests.list_barred_by(service, life)
        released = self._quarantine.revive(service, life, answered_at)
        record_withdrawn(life, released)
        age = monotonic() - answered_at
        self._notices.announce_revived(service, life, age)
        for part in released:
            self._rows.keep_cleared(service, part)
        for fingerprint in barred:
            self._rows.keep_request(fingerprint)

    async def _check_once(self, endpoint: Endpoint) -> _State:
        """Check an engine, once for all of its attempts."""
        return await _run_once(self._checks, endpoint, self._check)

    async def _query_once(self, endpoint: Endpoint) -> _State:
        """Query an engine, once for all attempts that were closed there."""
        return await _run_once(self._queries, endpoint, self._check_now)

    async def _reaches_another_once(self, endpoint: Endpoint) -> bool:
        """Look for another engine that answers, once for all attempts."""
        return await _run_once(
            self._path_checks, endpoint, self._reaches_another
        )

    async def _check(self, endpoint: Endpoint) -> _State:
        # An instance that is cut off reaches no engine at all.  A cut may begin
        # or end between two queries, so each silence counts only if another
        # engine answers before and after it.
        is_path_sound = await self._reaches_another(endpoint)
        for query in range(_MAX_QUERIES):
            if query:
                await asyncio.sleep(_QUERY_PERIOD)
            state = await self._check_now(endpoint)
            if state is not _State.UNKNOWN:
                return state
            is_path_sound = is_path_sound and (
                await self._reaches_another(endpoint)
            )
            if self._is_unreachable(endpoint):
                break
        return _State.ENDED if is_path_sound else _State.UNKNOWN

    async def _check_now(self, endpoint: Endpoint) -> _State:
        declaration = endpoint.declaration
        answered = await self._operations.read_incarnation(declaration.address)
        if not isinstance(answered, Failure):
            incarnation = answered.unwrap()
            is_other = incarnation not in {'', declaration.incarnation}
            return _State.ENDED if is_other else _State.ALIVE
        if self._table.get(endpoint.name) is not endpoint:
            return _State.ENDED
        return _State.UNKNOWN

    def _is_unreachable(self, endpoint: Endpoint) -> bool:
        """Return whether neither this instance nor a peer could connect."""
        address = endpoint.declaration.address
        return self._paths.unreachable.includes(address, monotonic())

    async def _reaches_another(self, endpoint: Endpoint) -> bool:
        """Return whether another engine of the service answers a query.

        Those that have ended themselves say nothing of the path.
        """
        now = monotonic()
        service = endpoint.group.name
        others = [
            other.declaration.address
            for other in self._table.in_group(service)
            if other is not endpoint
            and not is_withdrawn(other, now)
            and not self._quarantine.has_ended_before(
                service, _name_life(other), now
            )
        ]
        self._generator.shuffle(others)
        queries = map(self._operations.read_incarnation, others[:_MAX_CONTROLS])
        for answered in asyncio.as_completed(queries):
            if not isinstance(await answered, Failure):
                return True
        return False


async def _run_once(
    running: dict[str, asyncio.Task[T]],
    endpoint: Endpoint,
    check: Callable[[Endpoint], Coroutine[None, None, T]],
) -> T:
    """Check an engine, or wait for the same check that is in progress."""
    life = _name_life(endpoint)
    task = running.get(life)
    if task is None:
        task = asyncio.create_task(check(endpoint))
        running[life] = task
        task.add_done_callback(lambda _: running.pop(life, None))
    return await asyncio.shield(task)


def _name_life(endpoint: Endpoint) -> str:
    """Name one life of an engine."""
    return f'{endpoint.name} {endpoint.declaration.incarnation}'
