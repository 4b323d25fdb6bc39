"""What instances tell each other of parts of prompts, and of requests.

Notices are sent to all instances at once when an engine has ended, and nothing
is sent while none ends.
"""

import asyncio
import collections
import functools
import itertools
import logging
from collections.abc import Iterable, Mapping

import attrs

from ....state.quarantine import PartQuarantine
from ....state.records import record
from ....state.suspicions import EndedCall
from ....transport.deadlines import monotonic
from ....transport.services import BackgroundService, restarted_task
from ..membership.messages import PromptNotice, ReportedEnd
from ..membership.peers import PeerRegister
from ..membership.queries import PeerQueries

__all__ = ['PromptNotices', 'pack_end', 'unpack_end']

_logger = logging.getLogger(__name__)
#: Seconds between two repetitions of the own observations, as datagrams get
#: lost, and for how long they are repeated.
_REPEAT_PERIOD = 0.5
_REPEAT_SECONDS = 5.0
#: Most own observations of a kind that are repeated, and most in one datagram.
_MAX_REPEATED = 64
_MAX_ENDS = 8
#: Most ends of repeated requests that an instance is told which is heard anew.
_MAX_GREETED = 64
#: Seconds between two datagrams about ends: when many calls end together, one
#: datagram tells several.
_MIN_PERIOD = 0.01

_Key = tuple[str, str]


class PromptNotices(BackgroundService):
    """Sends own observations to the other instances, and takes theirs."""

    abstract = False

    def __init__(
        self,
        quarantine: PartQuarantine,
        queries: PeerQueries,
        peers: PeerRegister,
    ) -> None:
        """Report to all peers, and record what they report."""
        super().__init__()
        self._quarantine = quarantine
        self._queries = queries
        self._peers = peers
        self._own_ends: list[EndedCall] = []
        #: Parts and requests of such calls that are harmless, by service, and
        #: the monotonic times of the answers that show it.
        self._harmless: dict[_Key, float] = {}
        #: Ends that the next datagram tells, and the timer that sends it.
        self._unsent: collections.deque[EndedCall] = collections.deque(
            maxlen=_MAX_REPEATED
        )
        self._flush: asyncio.TimerHandle | None = None

    def announce_end(self, ended: EndedCall) -> None:
        """Tell all instances of a call whose engine ended here."""
        self._own_ends = [*self._own_ends, ended][-_MAX_REPEATED:]
        self._unsent.append(ended)
        if self._flush is None:
            self._send_unsent()

    def announce_alive(self, service: str, engine: str) -> None:
        """Tell all instances that an engine has not ended."""
        self._own_ends = [
            ended for ended in self._own_ends if ended.engine != engine
        ]
        self._send_to_all(
            functools.partial(PromptNotice, alive=[(service, engine)])
        )

    def announce_revived(self, service: str, engine: str, age: float) -> None:
        """Tell all that an engine answered ``age`` seconds ago after its end.

        All instances may have confirmed that end.
        """
        self._forget_own(engine, monotonic() - age)
        revived = [(service, engine, round(age, 4))]
        self._send_to_all(functools.partial(PromptNotice, revived=revived))

    def announce_harmless(self, service: str, parts: Iterable[str]) -> None:
        """Tell all that an engine outlived an answer on parts, or requests."""
        now = monotonic()
        answered_at = {(service, part): now for part in parts}
        for key in answered_at:
            self._withdraw_accusations(*key)
        self._announce_harmless(answered_at)

    def accept(self, notice: PromptNotice) -> None:
        """Record what another instance observed."""
        now = monotonic()
        self._accept_harmless(
            {
                (service, known): now - age
                for service, known, age in notice.harmless
            }
        )
        for service, engine in notice.alive:
            self._quarantine.withdraw(service, engine)
        for service, engine, age in notice.revived:
            self._forget_own(engine, now - age)
            released = self._quarantine.revive(service, engine, now - age)
            record_withdrawn(engine, released)
        harmless = [
            known
            for reported in notice.ends
            for known in self._accept_end(reported, now)
        ]
        if harmless and notice.host:
            reply = functools.partial(PromptNotice, harmless=harmless)
            self._queries.announce(reply, notice.host)

    def greet(self, host: str) -> None:
        """Tell an instance that is heard anew all that is known here."""
        now = monotonic()
        of_parts = (
            ended for ended in self._quarantine.list_ends() if ended.confirmed
        )
        of_requests = self._quarantine.requests.list_repeated()
        ends = [
            pack_end(ended, now)
            for ended in itertools.chain(
                of_parts, itertools.islice(of_requests, _MAX_GREETED)
            )
        ]
        for start in range(0, len(ends), _MAX_ENDS):
            notice = functools.partial(
                PromptNotice, ends=ends[start : start + _MAX_ENDS]
            )
            self._queries.announce(notice, host)

    def _forget_own(self, engine: str, before: float) -> None:
        """Repeat no more that a life has ended, by calls that ended before."""
        self._own_ends = [
            ended
            for ended in self._own_ends
            if ended.engine != engine or ended.ended_at >= before
        ]

    def _accept_harmless(self, answered_at: Mapping[_Key, float]) -> None:
        """Record that parts, or requests by fingerprint, are harmless.

        Whoever was told here that an engine ended under one is told that too.
        """
        accused = {}
        for (service, known), at in answered_at.items():
            self._quarantine.record_harmless(service, [known], at)
            self._quarantine.record_answered(service, known, at)
            if self._withdraw_accusations(service, known):
                accused[service, known] = at
        self._announce_harmless(accused)

    def _withdraw_accusations(self, service: str, known: str) -> bool:
        """Accuse no more of own ends what an answer shows to be harmless.

        Returns
        -------
        bool
            Whether it was accused.
        """
        ends = [
            _acquit(ended, known)
            if ended.service == service and self._is_proven(ended, known)
            else ended
            for ended in self._own_ends
        ]
        is_withdrawn = ends != self._own_ends
        self._own_ends = ends
        return is_withdrawn

    def _is_proven(self, ended: EndedCall, known: str) -> bool:
        """Return whether an answer shows that something ended no engine."""
        return not self._quarantine.select_unproven(
            ended.service, [known], ended.ended_at
        )

    def _accept_end(
        self, reported: ReportedEnd, now: float
    ) -> list[tuple[str, str, float]]:
        """Record a reported end; return what of its call is harmless here."""
        ended = unpack_end(reported, now)
        record_quarantined(ended, self._quarantine.record_end(ended, now))
        accused = ended.parts | {ended.fingerprint}
        unproven = self._quarantine.select_unproven(
            ended.service, accused, ended.ended_at
        )
        return [
            (
                ended.service,
                known,
                now - self._quarantine.find_harmless_at(ended.service, known),
            )
            for known in sorted(accused - unproven)
        ]

    @restarted_task
    async def _repeat(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(_REPEAT_PERIOD)
            oldest = monotonic() - _REPEAT_SECONDS
            self._own_ends = [
                ended for ended in self._own_ends if ended.ended_at > oldest
            ]
            for start in range(0, len(self._own_ends), _MAX_ENDS):
                self._announce(self._own_ends[start : start + _MAX_ENDS])
            # An answer bears on ends that come later, and as long.
            oldest -= _REPEAT_SECONDS
            self._harmless = {
                key: at for key, at in self._harmless.items() if at > oldest
            }
            self._send_harmless(self._harmless)

    def _send_unsent(self) -> None:
        """Tell of ends at once, and of those that follow a moment later."""
        self._flush = None
        if not self._unsent:
            return
        unsent = list(self._unsent)
        self._unsent.clear()
        for start in range(0, len(unsent), _MAX_ENDS):
            self._announce(unsent[start : start + _MAX_ENDS])
        loop = asyncio.get_running_loop()
        self._flush = loop.call_later(_MIN_PERIOD, self._send_unsent)

    def _announce(self, ends: Iterable[EndedCall]) -> None:
        now = monotonic()
        packed = [pack_end(ended, now) for ended in ends]
        self._send_to_all(functools.partial(PromptNotice, ends=packed))

    def _announce_harmless(self, answered_at: Mapping[_Key, float]) -> None:
        """Tell all instances now, and again for some seconds."""
        for key, at in answered_at.items():
            self._harmless.pop(key, None)
            if len(self._harmless) >= _MAX_REPEATED:
                self._harmless.pop(next(iter(self._harmless)))
            self._harmless[key] = at
        self._send_harmless(answered_at)

    def _send_harmless(self, answered_at: Mapping[_Key, float]) -> None:
        """Tell all instances when answers showed what to be harmless."""
        now = monotonic()
        harmless = [
            (service, known, round(now - at, 4))
            for (service, known), at in answered_at.items()
        ]
        for start in range(0, len(harmless), _MAX_ENDS):
            told = harmless[start : start + _MAX_ENDS]
            self._send_to_all(functools.partial(PromptNotice, harmless=told))

    def _send_to_all(self, notice: functools.partial[PromptNotice]) -> None:
        for host in self._peers.list_hosts():
            self._queries.announce(notice, host)


def _acquit(ended: EndedCall, known: str) -> EndedCall:
    """Return the end of an engine under a call without one that it accuses."""
    fingerprint = '' if ended.fingerprint == known else ended.fingerprint
    return attrs.evolve(
        ended, parts=ended.parts - {known}, fingerprint=fingerprint
    )


def record_quarantined(ended: EndedCall, parts: Iterable[str]) -> None:
    """Log the parts that an end quarantined."""
    for part in parts:
        record(
            _logger,
            'part_quarantined',
            service=ended.service,
            part=part,
            engine=ended.engine,
        )


def record_withdrawn(engine: str, released: Iterable[str]) -> None:
    """Log that an end was none, and the parts that it had quarantined."""
    record(
        _logger,
        'engine_end_withdrawn',
        engine=engine,
        released=sorted(released),
    )


def pack_end(ended: EndedCall, now: float) -> ReportedEnd:
    """Convert an end to its form in datagrams and rows, with ages."""
    return ReportedEnd(
        ended.service,
        ended.engine,
        sorted(ended.parts),
        sorted(ended.workspaces),
        round(now - ended.sent_at, 4),
        round(now - ended.ended_at, 4),
        ended.confirmed,
        ended.fingerprint,
    )


def unpack_end(reported: ReportedEnd, now: float) -> EndedCall:
    """Convert an end from its form in datagrams and rows."""
    return EndedCall(
        reported.service,
        reported.engine,
        frozenset(reported.parts),
        frozenset(reported.workspaces),
        now - reported.sent_age,
        now - reported.ended_age,
        reported.confirmed,
        reported.fingerprint,
    )
