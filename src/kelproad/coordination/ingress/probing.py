"""Asking another instance by datagram whether its tables have changed.

Nearly always they have not, and that takes two datagrams of some tens of bytes;
only a change is fetched by HTTP.  What is told is as old as the teller says,
counted from before the question was sent, so neither a slow answer nor a
suspension can make anything look fresher than it is.
"""

import asyncio

import attrs

from ...transport.deadlines import read_boottime
from .queries import PeerQueries, TablesQuery, TablesReply
from .readers import Reader
from .tables import TableFreshness

__all__ = ['Freshness', 'TableProbe']

#: Seconds for an answer, and how often it is asked for, as datagrams get lost.
#: The way takes up to 6 ms, and an instance that has a burst of calls may be
#: some 0.1 s behind.
_ANSWER_SECONDS = 0.15
_TRIES = 2
#: Seconds for which one answer serves the followers of all tables.
_REUSE_SECONDS = 0.1


@attrs.frozen
class Freshness:
    """What an instance said of its tables.

    Attributes
    ----------
    asked_at
        Boot time at which the question was sent.
    """

    tables: dict[str, TableFreshness]
    asked_at: float


class TableProbe:
    """Asks how fresh the tables of other instances are."""

    def __init__(self, queries: PeerQueries) -> None:
        """Ask by datagram."""
        self._queries = queries
        self._latest: dict[str, Freshness] = {}
        self._asking: dict[str, asyncio.Task[Freshness | None]] = {}

    async def ask(self, reader: Reader) -> Freshness | None:
        """Ask an instance; nothing when it doesn't answer.

        Followers of several tables that ask at about the same time share one
        question.
        """
        latest = self._latest.get(reader.instance)
        if latest and read_boottime() - latest.asked_at < _REUSE_SECONDS:
            return latest
        asking = self._asking.get(reader.instance)
        if asking is None:
            asking = asyncio.create_task(self._ask(reader))
            self._asking[reader.instance] = asking
            asking.add_done_callback(
                lambda _: self._asking.pop(reader.instance, None),
            )
        return await asyncio.shield(asking)

    async def _ask(self, reader: Reader) -> Freshness | None:
        for _ in range(_TRIES):
            asked_at = read_boottime()
            answer = await self._queries.ask(
                TablesQuery,
                reader.host,
                _ANSWER_SECONDS,
            )
            if isinstance(answer, TablesReply):
                freshness = Freshness(answer.tables, asked_at)
                self._latest = {reader.instance: freshness}
                return freshness
        return None
