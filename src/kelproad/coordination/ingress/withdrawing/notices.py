"""What instances tell each other of endpoints that leave.

The first instance that an endpoint tells sends a notice to all others at once,
and nothing is sent while none leaves.  Notices are first-hand only, from the
endpoint or from its row in the store, and only those of instances that the
store lists are believed.
"""

import asyncio
import functools
import logging
import random
from collections.abc import Awaitable, Callable, Iterable

from ....state.endpointtable import EndpointTable
from ....state.records import OnceRecorder, record
from ....transport.deadlines import monotonic
from ....transport.services import BackgroundService, restarted_task
from ..membership.messages import LeavingNotice, ReportedLeaving
from ..membership.peers import PeerRegister
from ..membership.queries import PeerQueries

__all__ = ['LeavingNotices']

_logger = logging.getLogger(__name__)
#: Seconds between two repetitions of a notice, as datagrams get lost, and for
#: how long it is repeated.
_REPEAT_PERIOD = 0.4
_REPEAT_SECONDS = 1.0
#: Seconds for which an endpoint is reported to have left whose row says so:
#: long enough that it is nobody's last resort.
_LISTED_AGE = 60.0
#: Most endpoints in one datagram.
_MAX_REPORTED = 32
#: Bounds of the seconds for which a notice holds; at random, so that one
#: instance asks the endpoint again before the others.
_REPORT_SECONDS = (60.0, 90.0)
#: Notices whose sender is being looked up, at most.
_MAX_WAITING = 64


class LeavingNotices(BackgroundService):
    """Sends own observations to the other instances, and takes theirs."""

    abstract = False

    def __init__(
        self,
        table: EndpointTable,
        queries: PeerQueries,
        peers: PeerRegister,
        is_instance: Callable[[str], Awaitable[bool]],
        generator: random.Random,
    ) -> None:
        """Report to all peers, and believe those that are instances."""
        super().__init__()
        self._table = table
        self._queries = queries
        self._peers = peers
        self._is_instance = is_instance
        self._generator = generator
        self._recorder = OnceRecorder(_logger)
        #: What is still repeated, and the monotonic time until which it is.
        self._repeated: dict[tuple[str, str], float] = {}
        self._waiting: set[asyncio.Task[None]] = set()

    def announce(self, endpoint: str, incarnation: str) -> None:
        """Tell all instances of an endpoint that told this one."""
        key = (endpoint, incarnation)
        self._repeated[key] = monotonic() + _REPEAT_SECONDS
        self._send(self._report([key]), self._peers.list_hosts())

    def greet(self, host: str) -> None:
        """Tell an instance that is heard anew which endpoints leave.

        The store that it reads may be down, or a copy from before that.
        """
        now = monotonic()
        stated = [
            key
            for key, withdrawal in self._table.withdrawals.all().items()
            if withdrawal.stated_here_at <= now
        ]
        listed = [
            ReportedLeaving(
                endpoint.name, endpoint.declaration.incarnation, _LISTED_AGE
            )
            for endpoint in self._table.all().values()
            if endpoint.declaration.leaving
        ]
        self._send([*self._report(stated), *listed], [host])

    def accept(self, notice: LeavingNotice) -> None:
        """Record a notice once its sender is known to be an instance."""
        if len(self._waiting) >= _MAX_WAITING:
            _logger.debug('too many notices to look up %s', notice.host)
            return
        received_at = monotonic()
        task = asyncio.create_task(self._accept(notice, received_at))
        self._waiting.add(task)
        task.add_done_callback(self._waiting.discard)

    async def _accept(self, notice: LeavingNotice, received_at: float) -> None:
        if not await self._is_instance(notice.host):
            self._recorder.record(
                notice.host, 'notice_refused', host=notice.host
            )
            return
        until = received_at + self._generator.uniform(*_REPORT_SECONDS)
        for reported in notice.leaving:
            withdrawal = self._table.keep_withdrawal(
                reported.endpoint, reported.incarnation, received_at
            )
            was_known = withdrawal.leaves
            stated_at = received_at - max(0, reported.age)
            withdrawal.report_leaving(stated_at, until)
            if not was_known:
                record(
                    _logger,
                    'endpoint_leaves',
                    endpoint=reported.endpoint,
                    incarnation=reported.incarnation,
                    source=notice.host,
                )

    @restarted_task
    async def _repeat(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(_REPEAT_PERIOD)
            now = monotonic()
            self._repeated = {
                key: until
                for key, until in self._repeated.items()
                if until > now
            }
            self._send(self._report(self._repeated), self._peers.list_hosts())

    def _report(self, keys: Iterable[tuple[str, str]]) -> list[ReportedLeaving]:
        """Report what endpoints told this instance."""
        now = monotonic()
        return [
            ReportedLeaving(*key, round(now - withdrawal.stated_here_at, 3))
            for key in keys
            if (withdrawal := self._table.withdrawals.find(*key)) is not None
        ]

    def _send(
        self, leaving: list[ReportedLeaving], hosts: Iterable[str]
    ) -> None:
        """Send reports, in datagrams of some each."""
        for start in range(0, len(leaving), _MAX_REPORTED):
            notice = functools.partial(
                LeavingNotice, leaving=leaving[start : start + _MAX_REPORTED]
            )
            for host in hosts:
                self._queries.announce(notice, host)
