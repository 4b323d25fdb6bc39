"""Giving back what engines hold for requests that have ended.

Whatever an attempt makes an engine hold is recorded here before the dispatch.
The record goes when the engine has finished the stream, has refused it, has
confirmed its release, or can no longer be asked in reasonable time; the
engine's watchers then find the rest (`orphans.py`).
"""

import asyncio

import attrs

from ..protocol.engines import EngineClient
from ..state.counters import Counters
from ..state.holdings import Holding, HoldingTable
from ..transport.deadlines import monotonic
from ..transport.services import BackgroundService

__all__ = ['Canceller']

_CANCEL_TIMEOUT = 2.0
_RETRY_PERIOD = 0.5
#: Seconds beyond an attempt's deadline after which its engine is no longer
#: asked: its watchers list what it holds, and release what is past deadline.
_GIVE_UP_AFTER = 30.0


@attrs.frozen
class _Cancellation:
    holding: Holding
    reason: str


class Canceller(BackgroundService):
    """Cancels abandoned attempts until their engines confirm it.

    A cancel may be lost, or overtake the dispatch it cancels.  Repeating it
    until it is confirmed covers the first, and the engine's memory of
    cancelled attempts the second.  Each engine has a task of its own while
    something is to be cancelled there, so that a frozen one holds up no other.
    """

    abstract = False

    def __init__(self, engines: EngineClient, counters: Counters) -> None:
        """Cancel through a client of engines."""
        super().__init__()
        self._engines = engines
        self._counters = counters
        self._open: dict[str, _Cancellation] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self.holdings = HoldingTable()

    def hold(self, holding: Holding) -> None:
        """Record what an engine is about to be made to hold."""
        self.holdings.add(holding)

    def drop(self, item_id: str) -> None:
        """Forget what the engine has finished or never took."""
        self._open.pop(item_id, None)
        self.holdings.remove(item_id)

    def cancel(self, item_id: str, reason: str) -> None:
        """Start releasing a recorded holding; returns at once."""
        holding = self.holdings.get(item_id)
        if holding is None:
            return
        self._open[item_id] = _Cancellation(holding, reason)
        if holding.url not in self._tasks:
            self._tasks[holding.url] = asyncio.create_task(
                self._cancel_at(holding.url),
            )

    def describe(self) -> list[dict[str, object]]:
        """List what is still to be confirmed, for the dump."""
        return [attrs.asdict(item) for item in self._open.values()]

    async def finish(self, timeout: float) -> None:
        """Wait until everything is confirmed, at most ``timeout`` seconds."""
        try:
            async with asyncio.timeout(timeout):
                while self._open:
                    await asyncio.sleep(_RETRY_PERIOD / 10)
        except asyncio.TimeoutError:
            self.log.warning('%d cancels unconfirmed', len(self._open))

    async def on_stop(self) -> None:
        """Stop cancelling."""
        for task in self._tasks.values():
            task.cancel()

    async def _cancel_at(self, url: str) -> None:
        """Cancel at one engine until nothing is left to cancel there."""
        try:
            while self._list_open(url):
                for cancellation in self._list_open(url):
                    await self._try_cancel(cancellation)
                if self._list_open(url):
                    await asyncio.sleep(_RETRY_PERIOD)
        finally:
            self._tasks.pop(url, None)

    def _list_open(self, url: str) -> list[_Cancellation]:
        return [
            cancellation
            for cancellation in self._open.values()
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
