"""Finding the other instances in the platform's store.

Each instance writes one row when it starts and reads all rows now and then;
between that, a datagram from an instance is enough to know it.
"""

import asyncio
import logging
import random
import time
from collections.abc import Awaitable, Callable

import attrs
import msgspec
from mode import Service
from returns.result import Failure, Result

from ...state.records import record
from ...transport.deadlines import monotonic
from ...transport.services import BackgroundService
from .exchange import WorkExchange
from .settings import NodeSettings
from .tablestates import StoredRow, StoreProblem, TableState

__all__ = ['Roster', 'RosterStore']

_logger = logging.getLogger(__name__)
#: Bounds of the seconds between two readings of the rows.  Instances that
#: start tell all others by datagram, so reading only finds whom a datagram did
#: not reach.  They are those of a small site; a larger one reads more rarely,
#: so that the calls to the store don't grow with it.
_READ_PERIODS = (8.0, 12.0)
_SMALL_SITE = 8
_RETRY_PERIOD = 0.5


class _Row(msgspec.Struct):
    """What an instance writes of itself."""

    host: str
    zone: str
    started_at: int


@attrs.frozen
class RosterStore:
    """How to write the own row and to read all of them."""

    write: Callable[[str, bytes], Awaitable[Result[None, StoreProblem]]]
    read: Callable[[], Awaitable[Result[TableState, StoreProblem]]]


class Roster(BackgroundService):
    """Enters this instance and introduces the others."""

    abstract = False

    def __init__(
        self,
        settings: NodeSettings,
        store: RosterStore,
        exchange: WorkExchange,
        generator: random.Random,
    ) -> None:
        """Introduce instances to an exchange."""
        super().__init__()
        self._settings = settings
        self._store = store
        self._exchange = exchange
        self._generator = generator

    @Service.task
    async def _keep(self) -> None:
        await self._enter()
        # Of two instances that start together, at least the one that reads
        # after the other has written finds it, and a datagram tells the other.
        while not (self.should_stop or await self._read()):
            await asyncio.sleep(_RETRY_PERIOD)
        while not self.should_stop:
            # Drawn at random, so that the instances don't all read at once.
            live = self._exchange.peers.count_live(monotonic())
            await asyncio.sleep(
                self._generator.uniform(*_READ_PERIODS)
                * max(1, live / _SMALL_SITE),
            )
            await self._read()

    async def _enter(self) -> None:
        row = _Row(self._settings.ip, self._settings.zone, time.time_ns())
        encoded = msgspec.json.encode(row)
        while not self.should_stop:
            written = await self._store.write(self._settings.instance, encoded)
            if not isinstance(written, Failure):
                record(_logger, 'instance_entered', host=row.host)
                return
            await asyncio.sleep(_RETRY_PERIOD)

    async def _read(self) -> bool:
        """Introduce the instances that have rows; tell whether that worked."""
        found = await self._store.read()
        if isinstance(found, Failure):
            # The followers of the store log that it is away.
            _logger.debug('instances not read: %s', found.failure().message)
            return False
        rows = found.unwrap().rows
        for row in rows:
            self._introduce(row)
        self._exchange.peers.keep_listed({row.key for row in rows}, monotonic())
        return True

    def _introduce(self, row: StoredRow) -> None:
        try:
            decoded = msgspec.json.decode(row.encoded or b'', type=_Row)
        except msgspec.DecodeError as error:
            record(
                _logger,
                'instance_unreadable',
                instance=row.key,
                reason=str(error),
            )
            return
        self._exchange.peers.introduce(row.key, decoded.host, decoded.zone)
