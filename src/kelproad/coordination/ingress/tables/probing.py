"""Querying another instance by datagram whether its tables have changed.

Nearly always they have not, and that takes two datagrams of some tens of bytes;
only a change is fetched by HTTP.  The age of the data is what the other
instance reports, counted from before the query was sent, so neither a slow
answer nor a suspension can make anything look fresher than it is.
"""

import asyncio

import attrs

from ....transport.deadlines import read_boottime
from ..membership.messages import TablesQuery, TablesReply
from ..membership.queries import PeerQueries
from .readers import Reader
from .tablestates import TableFreshness

__all__ = ['Freshness', 'TableProbe']

#: Seconds to wait for a reply, and the number of attempts, as datagrams get
#: lost.  The network takes up to 6 ms, and an instance that has a burst of
#: calls may be some 0.1 s behind.
_REPLY_TIMEOUT = 0.15
_MAX_ATTEMPTS = 2
#: Seconds for which one reply serves the followers of all tables.
_REUSE_SECONDS = 0.1


@attrs.frozen
class Freshness:
    """Freshness of the tables of an instance, as it reported.

    Attributes
    ----------
    queried_at
        Boot time at which the query was sent.
    """

    tables: dict[str, TableFreshness]
    queried_at: float


class TableProbe:
    """Queries how fresh the tables of other instances are."""

    def __init__(self, queries: PeerQueries) -> None:
        """Send the queries by datagram."""
        self._queries = queries
        self._latest: dict[str, Freshness] = {}
        self._pending: dict[str, asyncio.Task[Freshness | None]] = {}

    async def query(self, reader: Reader) -> Freshness | None:
        """Query an instance; ``None`` when it doesn't reply.

        Followers of several tables that query at about the same time share one
        query.
        """
        latest = self._latest.get(reader.instance)
        if latest and read_boottime() - latest.queried_at < _REUSE_SECONDS:
            return latest
        query = self._pending.get(reader.instance)
        if query is None:
            query = asyncio.create_task(self._query(reader))
            self._pending[reader.instance] = query
            query.add_done_callback(
                lambda _: self._pending.pop(reader.instance, None),
            )
        return await asyncio.shield(query)

    async def _query(self, reader: Reader) -> Freshness | None:
        for _ in range(_MAX_ATTEMPTS):
            queried_at = read_boottime()
            answer = await self._queries.query(
                TablesQuery,
                reader.host,
                _REPLY_TIMEOUT,
            )
            if isinstance(answer, TablesReply):
                freshness = Freshness(answer.tables, queried_at)
                self._latest = {reader.instance: freshness}
                return freshness
        return None
