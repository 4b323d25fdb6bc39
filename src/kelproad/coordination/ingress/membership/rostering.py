"""Discovery of the other instances through the platform's store.

Each instance writes one row when it starts and reads all rows at long
intervals; in between, a datagram from an instance is enough to discover it.

A store that was restored from a copy may have lost rows, so that each instance
writes its row again.  Until then those that are live count as listed.
"""

import asyncio
import itertools
import logging
import math
import random
import time
from collections.abc import Awaitable, Callable

import attrs
import msgspec
from returns.result import Failure, Result

from ....state.problems import UNREADABLE_ERRORS
from ....state.records import isolate_row, record
from ....transport.addresses import is_ip_number
from ....transport.deadlines import monotonic
from ....transport.services import BackgroundService, restarted_task
from ..settings import NodeSettings
from ..tables.tablestates import StoredRow, StoreProblem, TableState
from .exchange import WorkExchange

__all__ = ['Roster', 'RosterStore']

_logger = logging.getLogger(__name__)
#: Bounds of the seconds between two reads of the rows.  Starting instances
#: send a datagram to all others, so a read only serves those that it did not
#: reach.  The bounds are for a site of up to ``_SMALL_SITE`` instances; a
#: larger one reads more rarely, so that calls to the store don't grow with it.
_READ_PERIODS = (8.0, 12.0)
_SMALL_SITE = 8
_RETRY_PERIOD = 0.5
#: Longest seconds until the own row is written again after the store was
#: restored, chosen at random, so that not all instances write together.
_REWRITE_SECONDS = 2.0
#: Seconds between two reads for the sake of unknown IP numbers.
_CONFIRM_PERIOD = 0.5
#: What the log calls the table.
_TABLE = 'instances'


class _Row(msgspec.Struct):
    """The row of an instance, as stored in JSON."""

    host: str
    zone: str
    started_at: int


@attrs.frozen
class RosterStore:
    """How to write this instance's row and to read all rows."""

    write: Callable[[str, bytes], Awaitable[Result[None, StoreProblem]]]
    read: Callable[[], Awaitable[Result[TableState, StoreProblem]]]


class Roster(BackgroundService):
    """Registers this instance and discovers the others.

    Attributes
    ----------
    is_starting
        Whether it is still to read what other instances have written, with no
        call to the store that failed.
    """

    abstract = False

    def __init__(
        self,
        settings: NodeSettings,
        store: RosterStore,
        exchange: WorkExchange,
        adopt_other: Callable[[StoredRow], bool],
        note_alone: Callable[[], None],
        generator: random.Random,
    ) -> None:
        """Add discovered instances to the peers of an exchange.

        ``adopt_other`` adopts rows of the table that are no instances,
        ``note_alone`` is called when no other instance is listed.
        """
        super().__init__()
        self._settings = settings
        self._store = store
        self._exchange = exchange
        self._adopt_other = adopt_other
        self._note_alone = note_alone
        self._generator = generator
        self.is_starting = True
        #: IP numbers of the instances that have rows.
        self._hosts: frozenset[str] = frozenset()
        #: IP numbers of those that had rows before the store was restored.
        self._lost_hosts: frozenset[str] = frozenset()
        self._restored = asyncio.Event()
        #: Numbers of the reads, and the newest one that was adopted: with a
        #: slow store they may end in another order.
        self._read_numbers = itertools.count()
        self._newest_read = -1
        self._confirmed_at = -math.inf
        self._confirming: asyncio.Task[bool] | None = None

    async def is_instance(self, host: str) -> bool:
        """Return whether an IP number is that of an instance with a row.

        The rows are read again for an unknown one, which may have just started;
        all that ask meanwhile wait for the same read.  An instance that could
        never read them knows the seeds of its settings.
        """
        now = monotonic()
        if self.includes(host):
            return True
        confirming = self._confirming
        if confirming is None or now - self._confirmed_at > _CONFIRM_PERIOD:
            self._confirmed_at = now
            confirming = asyncio.create_task(self._read())
            self._confirming = confirming
        await asyncio.shield(confirming)
        if self._hosts:
            return host in self._hosts
        return host in self._settings.seed_hosts

    def includes(self, host: str) -> bool:
        """Return whether an IP number is that of a listed instance.

        Nothing is read for an unknown one.
        """
        return host in self._hosts or self._is_lost(host, monotonic())

    def restore(self) -> None:
        """Write the own row again, as the store may have lost it."""
        self._lost_hosts |= self._hosts
        self._restored.set()

    def _is_lost(self, host: str, now: float) -> bool:
        """Return whether an IP number is that of a live instance without a row.

        It had one before the store was restored.
        """
        return host in self._lost_hosts and (
            self._exchange.peers.includes_live_host(host, now)
        )

    @restarted_task
    async def _register_again(self) -> None:
        while not self.should_stop:
            await self._restored.wait()
            await asyncio.sleep(self._generator.uniform(0, _REWRITE_SECONDS))
            self._restored.clear()
            await self._register()

    @restarted_task
    async def _maintain(self) -> None:
        await self._register()
        # Of two instances that start together, at least the one that reads
        # after the other has written discovers it, and sends it a datagram.
        while not (self.should_stop or await self._read()):
            await asyncio.sleep(_RETRY_PERIOD)
        self._exchange.report_soon()
        while not self.should_stop:
            # Chosen at random, so that the instances don't all read at once.
            live = self._exchange.peers.count_live(monotonic())
            await asyncio.sleep(
                self._generator.uniform(*_READ_PERIODS)
                * max(1, live / _SMALL_SITE),
            )
            await self._read()

    async def _register(self) -> None:
        row = _Row(self._settings.ip, self._settings.zone, time.time_ns())
        encoded = msgspec.json.encode(row)
        while not self.should_stop:
            written = await self._store.write(self._settings.instance, encoded)
            if not isinstance(written, Failure):
                record(_logger, 'instance_entered', host=row.host)
                return
            self.is_starting = False
            await asyncio.sleep(_RETRY_PERIOD)

    async def _read(self) -> bool:
        """Add the instances that have rows; return whether the read worked."""
        number = next(self._read_numbers)
        found = await self._store.read()
        if isinstance(found, Failure):
            # The followers of the tables log that the store is unreachable.
            _logger.debug(
                'cannot read the rows of instances: %s', found.failure().message
            )
            self.is_starting = False
            return False
        if number < self._newest_read:
            return True
        self._newest_read = number
        rows = [row for row in found.unwrap().rows if self._is_own_kind(row)]
        added = [self._add_apart(row) for row in rows]
        self._hosts = frozenset(host for host in added if host)
        self.is_starting = False
        listed = {row.key for row in rows}
        self._exchange.peers.drop_unlisted(listed, monotonic())
        if listed <= {self._settings.instance}:
            self._note_alone()
        return True

    def _is_own_kind(self, row: StoredRow) -> bool:
        """Return whether a row is one of an instance; adopt any other."""
        with isolate_row(_TABLE, row.key):
            return not self._adopt_other(row)
        return False

    def _add_apart(self, row: StoredRow) -> str:
        """Add an instance; an error concerns no other one."""
        with isolate_row(_TABLE, row.key):
            return self._add(row)
        return ''

    def _add(self, row: StoredRow) -> str:
        """Add the instance of a row; return its IP number if it is readable."""
        try:
            decoded = msgspec.json.decode(row.encoded or b'', type=_Row)
        except UNREADABLE_ERRORS as error:
            _record_unreadable(row.key, str(error))
            return ''
        if not is_ip_number(decoded.host):
            _record_unreadable(row.key, 'its host is no IP number')
            return ''
        self._exchange.peers.add_listed(
            row.key,
            decoded.host,
            decoded.zone,
            decoded.started_at,
            monotonic(),
        )
        return decoded.host


def _record_unreadable(instance: str, reason: str) -> None:
    record(_logger, 'instance_unreadable', instance=instance, reason=reason)
