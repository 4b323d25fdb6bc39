"""Giving back what engines hold for requests that have ended.

Whatever an attempt makes an engine hold is entered here before the dispatch
and leaves only when the engine confirmed its release, finished the stream
itself, or was restarted.
"""

import asyncio

import attrs
from mode import Service

from ..protocol.engines import EngineClient
from ..state.counters import Counters
from ..transport.services import BackgroundService

__all__ = ['Canceller']

_CANCEL_TIMEOUT = 2.0
_RETRY_PERIOD = 0.5


@attrs.frozen
class _Cancellation:
    url: str
    attempt_id: str
    reason: str


class Canceller(BackgroundService):
    """Cancels abandoned attempts until their engines confirm it.

    A cancel may be lost, or overtake the dispatch it cancels.  Repeating it
    until it is confirmed covers the first, and the engine's memory of
    cancelled attempts the second.
    """

    abstract = False

    def __init__(self, engines: EngineClient, counters: Counters) -> None:
        """Cancel through a client of engines."""
        super().__init__()
        self._engines = engines
        self._counters = counters
        self._open: set[_Cancellation] = set()
        self._added = asyncio.Event()

    def cancel(self, url: str, attempt_id: str, reason: str) -> None:
        """Start cancelling an attempt; returns at once."""
        self._open.add(_Cancellation(url, attempt_id, reason))
        self._added.set()

    def describe(self) -> list[dict[str, str]]:
        """List what is still to be confirmed, for the dump."""
        return [attrs.asdict(cancellation) for cancellation in self._open]

    async def finish(self, timeout: float) -> None:
        """Wait until everything is confirmed, at most ``timeout`` seconds."""
        try:
            async with asyncio.timeout(timeout):
                while self._open:
                    await asyncio.sleep(_RETRY_PERIOD / 10)
        except asyncio.TimeoutError:
            self.log.warning('%d cancels unconfirmed', len(self._open))

    @Service.task
    async def _cancel_all(self) -> None:
        while not self.should_stop:
            await self._added.wait()
            self._added.clear()
            await asyncio.gather(*map(self._try_cancel, list(self._open)))
            if self._open:
                await self.sleep(_RETRY_PERIOD)
                self._added.set()

    async def _try_cancel(self, cancellation: _Cancellation) -> None:
        confirmed = await self._engines.cancel(
            cancellation.url,
            cancellation.attempt_id,
            _CANCEL_TIMEOUT,
        )
        self._counters.cancels.inc(
            {
                'reason': cancellation.reason,
                'outcome': 'confirmed' if confirmed else 'unconfirmed',
            },
        )
        if confirmed:
            self._open.discard(cancellation)
