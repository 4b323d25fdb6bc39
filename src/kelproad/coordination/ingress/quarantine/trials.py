"""Trials of suspect parts, one at a time over all instances.

No two trials go to one engine, as its end would accuse the parts of both.

One instance permits the trials of a service; every instance computes which one
from the peers that it knows to be live.  While that one is silent, others use
what they know themselves.
"""

import asyncio
import functools
import zlib

import attrs
import msgspec

from ....state.calls import Call
from ....transport.deadlines import monotonic
from ..limiting.coordinators import Coordinator, CoordinatorSelector
from ..membership.messages import (
    TrialEnd,
    TrialQuery,
    TrialReply,
)
from ..membership.peers import PeerRegister
from ..membership.queries import PeerQueries
from ..tables.readers import Reader

__all__ = ['Permission', 'TrialCoordinator']

#: Seconds for a reply of the coordinator, which may be in another zone.
_REPLY_TIMEOUT = 0.1
#: Seconds for which a coordinator that did not reply is not queried again.
_SILENT_SECONDS = 0.5
#: Seconds after which a trial whose end was not told is over: longer than it
#: takes to find that an engine is silent.
_LONGEST_TRIAL = 4.0


@attrs.frozen
class Permission:
    """Whether a call may try its parts; ``engines`` already have trials."""

    granted: bool
    engines: frozenset[str] = frozenset()


@attrs.frozen
class _Trial:
    """A trial of a part by a call, over at a monotonic time at last."""

    call: str
    engine: str
    until: float


@attrs.define
class TrialCoordinator:
    """Permits trials, or queries the instance that does."""

    _selector: CoordinatorSelector
    _peers: PeerRegister
    _queries: PeerQueries
    _own: Reader
    _trials: dict[tuple[str, str], _Trial] = attrs.field(factory=dict)
    _silent_until: dict[str, float] = attrs.field(factory=dict)

    async def request(
        self, call: Call, parts: tuple[str, ...], engine: str
    ) -> Permission:
        """Request that a call may try some parts at an engine."""
        query = functools.partial(
            TrialQuery,
            service=call.service,
            parts=list(parts),
            call=call.request_id,
            engine=engine,
        )
        try:
            return await self._request(query)
        except asyncio.CancelledError:
            # The permission may be on its way.
            self.finish(call, parts)
            raise

    def finish(self, call: Call, parts: tuple[str, ...]) -> None:
        """Tell that the trial of some parts by a call is over."""
        notice = functools.partial(
            TrialEnd,
            service=call.service,
            parts=list(parts),
            call=call.request_id,
        )
        self._release(notice(0, '', ''))
        coordinator = self._select(call.service)
        if coordinator.host:
            self._queries.announce(notice, coordinator.host)

    def answer(self, query: TrialQuery) -> TrialReply | None:
        """Answer a query, or relay it to the instance that permits."""
        coordinator = self._select(query.service)
        if coordinator.host and not query.relayed:
            self._relay(query, coordinator)
            return None
        permission = self._grant(query)
        return TrialReply(
            query.token, permission.granted, sorted(permission.engines)
        )

    def accept_end(self, notice: TrialEnd) -> None:
        """Record the end of a trial, or relay the notice."""
        self._release(notice)
        coordinator = self._select(notice.service)
        if coordinator.host and not notice.relayed:
            self._relay(notice, coordinator)

    async def _request(
        self, query: functools.partial[TrialQuery]
    ) -> Permission:
        local = query(0, '', '')
        host = self._select(local.service).host
        if not host or self._silent_until.get(host, 0) > monotonic():
            return self._grant(local)
        reply = await self._queries.query(query, host, _REPLY_TIMEOUT)
        if isinstance(reply, TrialReply):
            return Permission(reply.granted, frozenset(reply.engines))
        self._silent_until[host] = monotonic() + _SILENT_SECONDS
        return self._grant(local)

    def _grant(self, query: TrialQuery) -> Permission:
        now = monotonic()
        self._trials = {
            key: trial
            for key, trial in self._trials.items()
            if trial.until > now
        }
        others = {
            key: trial
            for key, trial in self._trials.items()
            if trial.call != query.call
        }
        engines = frozenset(trial.engine for trial in others.values())
        keys = [(query.service, part) for part in query.parts]
        if query.engine in engines or not others.keys().isdisjoint(keys):
            return Permission(False, engines)
        trial = _Trial(query.call, query.engine, now + _LONGEST_TRIAL)
        self._trials.update(dict.fromkeys(keys, trial))
        return Permission(True)

    def _release(self, notice: TrialEnd) -> None:
        for part in notice.parts:
            trial = self._trials.get((notice.service, part))
            if trial is not None and trial.call == notice.call:
                self._trials.pop((notice.service, part))

    def _relay(
        self, query: TrialQuery | TrialEnd, coordinator: Coordinator
    ) -> None:
        relayed = msgspec.structs.replace(query, relayed=True)
        self._queries.relay(relayed, coordinator.host)

    def _select(self, service: str) -> Coordinator:
        """Select the coordinator of a service, in one of all zones."""
        now = monotonic()
        zones = {reader.zone for reader in self._peers.list_live(now)}
        zones.add(self._own.zone)
        zone = min(
            zones - {''},
            key=lambda name: (zlib.crc32(f'{name} {service}'.encode()), name),
        )
        return self._selector.select(f'trials of {service}', zone, now)
