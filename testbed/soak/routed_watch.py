"""Queries of the store beside a run, which tell how soon it answers."""

import asyncio
import time

import aiohttp
import attrs

from testbed.routed import RoutedSite

__all__ = ['SOUND_SECONDS', 'StoreQuery', 'StoreWatch']

#: Seconds within which a store answers with the newest configuration that is
#: soon enough for keys to be trusted.
SOUND_SECONDS = 3.0
#: Seconds between two queries.
_WATCH_SECONDS = 0.25
_OK = 200
_NEWEST = '/-/rows-get?table=op&from=config&limit=1'


@attrs.frozen
class StoreQuery:
    """A query for the newest configuration, and the seconds that it took.

    ``seconds`` is infinite if it was not answered in time, or refused.
    """

    sent_at: float
    seconds: float


class StoreWatch:
    """Asks the store for the newest configuration, as an instance would.

    Queries overlap, so that a late answer hides nothing.
    """

    def __init__(self, site: RoutedSite) -> None:
        """Watch the store itself, not a proxy before it."""
        self._url = f'http://{site.store}{_NEWEST}'
        self.queries: list[StoreQuery] = []

    async def run(self, seconds: float) -> None:
        """Query for ``seconds``; all queries have ended on return."""
        end = time.monotonic() + seconds
        # A limit of connections would make queries wait here.
        connector = aiohttp.TCPConnector(limit=0)
        async with (
            aiohttp.ClientSession(connector=connector) as session,
            asyncio.TaskGroup() as group,
        ):
            while time.monotonic() < end:
                group.create_task(self._query(session))
                await asyncio.sleep(_WATCH_SECONDS)

    async def _query(self, session: aiohttp.ClientSession) -> None:
        sent_at = time.monotonic()
        is_answered = False
        try:
            async with session.get(
                self._url, timeout=aiohttp.ClientTimeout(SOUND_SECONDS)
            ) as response:
                await response.read()
                is_answered = response.status == _OK
        except (aiohttp.ClientError, asyncio.TimeoutError):
            # The store is away, or too slow.
            is_answered = False
        seconds = time.monotonic() - sent_at if is_answered else float('inf')
        self.queries.append(StoreQuery(sent_at, seconds))
