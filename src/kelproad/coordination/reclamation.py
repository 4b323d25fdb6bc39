"""Release of the items that engines hold for requests that have ended.

Whatever an attempt makes an engine hold is recorded here before the dispatch.
The record is removed when the engine has finished the stream, has refused it
or has confirmed its release, or when it did not confirm in reasonable time;
the engine's watchers then release the item (`orphans.py`).
"""

import asyncio

import attrs

from ..protocol.engines import EngineClient
from ..state.counters import Counters
from ..state.holdings import Holding, HoldingTable
from ..transport.deadlines import monotonic
from ..transport.services import BackgroundService

__all__ = ['Canceller']

#: Seconds for one cancel call to an engine.
_CANCEL_TIMEOUT = 2.0
#: Seconds between two rounds of cancels at one engine.
_RETRY_PERIOD = 0.5
#: Seconds past an attempt's deadline after which its cancel is not repeated:
#: the engine's watchers release all items that are past their deadline.
_GIVE_UP_AFTER = 30.0


@attrs.frozen
class _Cancellation:
    holding: Holding
    reason: str


class Canceller(BackgroundService):
    """Cancels abandoned attempts until their engines confirm it.

    A cancel may be lost, or overtake the dispatch it cancels.  Repeating it
    until it is confirmed covers the first case; the second is covered by the
    engine, which remembers cancelled attempts.  Each engine has its own task
    while cancels are open there, so that a frozen engine delays no other.
    """

    abstract = False

    def __init__(self, engines: EngineClient, counters: Counters) -> None:
        """Start without holdings; tasks start with the first cancel."""
        super().__init__()
        self._engines = engines
        self._counters = counters
        self._unconfirmed: dict[str, _Cancellation] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self.holdings = HoldingTable()

    def hold(self, holding: Holding) -> None:
        """Record a holding; call it before the dispatch that creates it."""
        self.holdings.add(holding)

    def drop(self, item_id: str) -> None:
        """Forget a holding that the engine finished or never accepted."""
        self._unconfirmed.pop(item_id, None)
        self.holdings.remove(item_id)

    def cancel(self, item_id: str, reason: str) -> None:
        """Start to release a recorded holding, and return at once."""
        holding = self.holdings.get(item_id)
        if holding is None:
            return
        self._unconfirmed[item_id] = _Cancellation(holding, reason)
        if holding.url not in self._tasks:
            self._tasks[holding.url] = asyncio.create_task(
                self._cancel_at(holding.url),
            )

    def describe(self) -> list[dict[str, object]]:
        """List the unconfirmed cancels, for the dump."""
        return [attrs.asdict(item) for item in self._unconfirmed.values()]

    async def finish(self, timeout: float) -> None:
        """Wait until all cancels are confirmed, at most ``timeout`` seconds."""
        try:
            async with asyncio.timeout(timeout):
                while self._unconfirmed:
                    await asyncio.sleep(_RETRY_PERIOD / 10)
        except asyncio.TimeoutError:
            self.log.warning('%d cancels unconfirmed', len(self._unconfirmed))

    async def on_stop(self) -> None:
        """Abandon all unconfirmed cancels."""
        for task in self._tasks.values():
            task.cancel()

    async def _cancel_at(self, url: str) -> None:
        """Send the open cancels of one engine until there are none left."""
        try:
            while self._list_unconfirmed(url):
                for cancellation in self._list_unconfirmed(url):
                    await self._try_cancel(cancellation)
                if self._list_unconfirmed(url):
                    await asyncio.sleep(_RETRY_PERIOD)
        finally:
            self._tasks.pop(url, None)

    def _list_unconfirmed(self, url: str) -> list[_Cancellation]:
        return [
            cancellation
            for cancellation in self._unconfirmed.values()
            if cancellation.holding.url == url
        ]

    async def _try_cancel(self, cancellation: _Cancellation) -> None:
        holding = cancellation.holding
        confirmed = await self._engines.release(
            holding.url,
            holding.kind,
            holding.item_id,
            _CANCEL_TIMEOUT,
        )
        late = monotonic() > holding.deadline + _GIVE_UP_AFTER
        outcome = 'confirmed' if confirmed else 'unconfirmed'
        if late and not confirmed:
            outcome = 'left to watchers'
        self._counters.cancels.inc(
            {'reason': cancellation.reason, 'outcome': outcome},
        )
        if confirmed or late:
            self.drop(holding.item_id)
