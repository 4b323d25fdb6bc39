"""Connections of callers: which have a call, and when idle ones are closed."""

import asyncio
from collections.abc import Callable, Coroutine, Iterable

import attrs
from aiohttp import web

__all__ = ['CallerConnections', 'ConnectionTimeouts']

#: Iterations of the event loop in which a call that has been read reaches its
#: handler: aiohttp resumes the connection's task, which starts another one.
_READING_ITERATIONS = 5
#: Closed connections that may be remembered before they are removed.
_CLEANUP_SLACK = 64
#: Least seconds for which a connection may stay idle.
_MIN_IDLE_SECONDS = 1.0


@attrs.frozen
class ConnectionTimeouts:
    """How long callers may take, and stay idle.

    Attributes
    ----------
    head
        Seconds within which a new connection must deliver its first headers.
    idle
        Seconds from the end of a call within which the next one must come.
    """

    head: float
    idle: float


class CallerConnections:
    """The connections of a server.

    aiohttp waits for the first headers without a time-out, so callers that send
    them byte by byte could occupy all connections; and its own time for idle
    connections is fixed when the server starts.
    """

    def __init__(
        self,
        list_open: Callable[[], list[web.RequestHandler]],
        read_timeouts: Callable[[], ConnectionTimeouts],
    ) -> None:
        """Track connections; ``list_open`` lists those that are open."""
        self._list_open = list_open
        self._read_timeouts = read_timeouts
        self._awaiting_first: set[web.RequestHandler] = set()
        self._busy: set[web.RequestHandler] = set()
        #: Timers of the idle connections that have had a call.
        self._idle: dict[web.RequestHandler, asyncio.TimerHandle] = {}
        self._closing: set[asyncio.Task[None]] = set()

    def begin(self, connection: web.RequestHandler) -> None:
        """Wait for the first headers of a new connection."""
        self._awaiting_first.add(connection)
        asyncio.get_running_loop().call_later(
            self._read_timeouts().head, self._start_abort, connection
        )

    def begin_call(self, connection: web.RequestHandler) -> None:
        """Record that a call has begun."""
        self._awaiting_first.discard(connection)
        self._busy.add(connection)
        timer = self._idle.pop(connection, None)
        if timer is not None:
            timer.cancel()

    def end_call(self, connection: web.RequestHandler) -> None:
        """Record that a call has ended; from now on the connection is idle."""
        self._busy.discard(connection)
        self._idle[connection] = asyncio.get_running_loop().call_later(
            max(_MIN_IDLE_SECONDS, self._read_timeouts().idle),
            self._start_close,
            connection,
        )
        self._forget_closed()

    async def close_idle(self) -> None:
        """Close the connections that have had a call and have none now.

        A connection without a first call is left open, as that call is
        probably on its way.
        """
        open_now = self._list_open()
        await self._close([one for one in open_now if one in self._idle])

    def end(self) -> None:
        """Cancel all timers."""
        for timer in self._idle.values():
            timer.cancel()
        self._idle.clear()

    async def _close(self, idle: list[web.RequestHandler]) -> None:
        """Close idle connections without losing a call.

        First, reading is paused; then a call that was being read gets the time
        to reach its handler; then connections without a call are closed.  To
        close at once would lose a call that has been read, and aiohttp ignores
        what comes on a connection that is marked as closed.  Only a call that
        arrives during the close is lost, unread.
        """
        for connection in idle:
            # aiohttp lists a connection that its caller has just closed until
            # its task has ended.
            if connection.transport is not None:
                connection.transport.pause_reading()
        for _ in range(_READING_ITERATIONS):
            await asyncio.sleep(0)
        for connection in idle:
            self._close_unless_busy(connection)

    def _start_close(self, connection: web.RequestHandler) -> None:
        self._idle.pop(connection, None)
        self._run(self._close([connection]))

    def _start_abort(self, connection: web.RequestHandler) -> None:
        if connection in self._awaiting_first:
            self._run(self._abort_unless_used(connection))

    def _run(self, closing: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(closing)
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)

    def _close_unless_busy(self, connection: web.RequestHandler) -> None:
        """Close a connection unless it has a call meanwhile."""
        transport = connection.transport
        if transport is None:
            return
        if connection in self._busy:
            transport.resume_reading()
            return
        connection.close()
        transport.close()

    async def _abort_unless_used(self, connection: web.RequestHandler) -> None:
        """Abort a connection without a call.

        One that arrived while this process stood still is read in the turn of
        the event loop in which the time-out is due, and reaches its handler
        some turns later.
        """
        for _ in range(_READING_ITERATIONS):
            await asyncio.sleep(0)
        is_awaiting = connection in self._awaiting_first
        self._awaiting_first.discard(connection)
        if is_awaiting and connection.transport is not None:
            connection.transport.abort()

    def _forget_closed(self) -> None:
        """Forget closed connections once they are as many as the open ones."""
        open_now = self._list_open()
        if len(self._idle) > 2 * len(open_now) + _CLEANUP_SLACK:
            self._forget(self._idle.keys() - set(open_now))

    def _forget(self, closed: Iterable[web.RequestHandler]) -> None:
        for connection in closed:
            self._idle.pop(connection).cancel()
