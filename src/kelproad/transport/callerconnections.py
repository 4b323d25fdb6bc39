"""Connections of callers: which have a call, and when idle ones are closed.

Calls that were read and never reach a handler are told: those behind the last
answer on a connection, or behind a call whose caller leaves.
"""

import asyncio
import logging
import select
from collections.abc import Callable, Coroutine

import aiohttp
import attrs
from aiohttp import web
from multidict import MultiMapping

from ..state.budgets import ConnectionPhase, OpenConnections
from .deadlines import monotonic

__all__ = ['CallerConnections', 'ConnectionTimeouts']

_logger = logging.getLogger(__name__)
#: Iterations of the event loop in which a call that has been read reaches its
#: handler: aiohttp resumes the connection's task, which starts another one.
_READING_ITERATIONS = 5
#: Seconds in which the last connections are closed while calls keep arriving;
#: one round is made in any case.
_LAST_SECONDS = 0.05
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
        on_unhandled: Callable[[MultiMapping[str], str], None],
        most_connections: int,
    ) -> None:
        """Track connections; ``list_open`` lists those that are open.

        ``on_unhandled`` gets the headers of each call that was read and reached
        no handler, and who ended its connection.
        """
        self._open = OpenConnections(most_connections)
        self._is_full = False
        self._list_open = list_open
        self._read_timeouts = read_timeouts
        self._on_unhandled = on_unhandled
        #: Timers of the connections that have had no call yet.
        self._awaiting_first: dict[web.RequestHandler, asyncio.TimerHandle] = {}
        self._busy: set[web.RequestHandler] = set()
        #: Timers of the idle connections that have had a call.
        self._idle: dict[web.RequestHandler, asyncio.TimerHandle] = {}
        self._closing: set[asyncio.Task[None]] = set()

    def begin(self, connection: web.RequestHandler) -> None:
        """Wait for the first headers of a new connection."""
        self._open.move(connection, ConnectionPhase.HEAD)
        self._close_excess(connection)
        self._awaiting_first[connection] = (
            asyncio.get_running_loop().call_later(
                self._read_timeouts().head, self._abort_unless_used, connection
            )
        )

    def record_end(self, connection: web.RequestHandler, by: str) -> None:
        """Tell the calls that were read and are dropped with a connection."""
        self._open.remove(connection)
        self._forget(connection)
        # What aiohttp has read and drops is to be found nowhere else.
        for message, _ in connection._messages:  # noqa: WPS437
            if hasattr(message, 'headers'):
                self._on_unhandled(message.headers, by)

    def begin_call(
        self, connection: web.RequestHandler, body: aiohttp.StreamReader
    ) -> None:
        """Record that a call has begun, whose body may yet arrive."""
        self._open.move(connection, ConnectionPhase.BODY)
        body.on_eof(lambda: self._open.end_body(connection))
        self._forget(connection)
        self._busy.add(connection)

    def end_call(self, connection: web.RequestHandler) -> None:
        """Record that a call has ended; from now on the connection is idle."""
        self._busy.discard(connection)
        self._open.end_call(connection)
        if connection.transport is not None:
            self._await_expiry(connection, asyncio.get_running_loop().time())

    async def close_idle(self) -> None:
        """Close the connections that have had a call and have none now.

        A connection without a first call is left open, as that call is
        probably on its way.
        """
        open_now = self._list_open()
        await self._close([one for one in open_now if one in self._idle])

    async def close_unused(self) -> None:
        """Close all connections without a call, once nothing more is accepted.

        A call that has arrived on one of them is read and answered first:
        aiohttp would read and ignore it as the server ends.
        """
        ends_at = monotonic() + _LAST_SECONDS
        unused = self._list_unused()
        while unused:
            await _let_calls_begin(unused)
            for connection in unused:
                self._close_unless_used(connection)
            # What was left unread is read now.
            await asyncio.sleep(0)
            unused = self._list_unused() if monotonic() < ends_at else []

    def end(self) -> None:
        """Cancel all timers."""
        for connection in (*self._awaiting_first, *self._idle):
            self._forget(connection)

    def _close_excess(self, newest: web.RequestHandler) -> None:
        """Close a connection if there are too many, and log the first one."""
        excess = self._open.choose_excess(newest)
        if excess is None:
            self._is_full = False
            return
        if not self._is_full:
            self._is_full = True
            _logger.warning(
                'more than %d connections: those that wait longest for a '
                'request, or its rest, are closed',
                self._open.limit,
            )
        self._open.remove(excess)
        if excess.transport is not None:
            excess.transport.abort()

    def _list_unused(self) -> list[web.RequestHandler]:
        return [one for one in self._list_open() if one not in self._busy]

    async def _close(self, idle: list[web.RequestHandler]) -> None:
        """Close idle connections without losing a call.

        First, reading is paused; then a call that was being read gets the time
        to reach its handler; then connections without a call are closed.  To
        close at once would lose a call that has been read, and aiohttp ignores
        what comes on a connection that is marked as closed.  The time may be
        long on a busy machine, so what arrived meanwhile is read after all.
        """
        await _let_calls_begin(idle)
        for connection in idle:
            self._close_unless_used(connection)

    async def _abort(self, connection: web.RequestHandler) -> None:
        """Abort a connection whose first headers are late.

        They may have been read in this iteration: after a standstill of the
        process the time has run out although they came in time.
        """
        await _let_calls_begin([connection])
        transport = connection.transport
        if connection in self._awaiting_first:
            self._forget(connection)
            if transport is not None:
                transport.abort()
        elif transport is not None:
            transport.resume_reading()

    def _await_expiry(
        self, connection: web.RequestHandler, idle_since: float
    ) -> None:
        """Close a connection once its idle time has passed.

        ``idle_since`` is a time of the event loop, in seconds.
        """
        self._idle[connection] = asyncio.get_running_loop().call_at(
            idle_since + self._choose_idle_seconds(),
            self._expire,
            connection,
            idle_since,
        )

    def _restart_expiry(self, connection: web.RequestHandler) -> None:
        """Let the idle time of a connection that has had a call begin anew."""
        if connection in self._awaiting_first:
            return
        self._forget(connection)
        self._await_expiry(connection, asyncio.get_running_loop().time())

    def _expire(
        self, connection: web.RequestHandler, idle_since: float
    ) -> None:
        """Close a connection, unless it may be idle for longer meanwhile.

        Its caller knows the time in force, and may send a call until then,
        which would cross the close.
        """
        idle_for = asyncio.get_running_loop().time() - idle_since
        if idle_for < self._choose_idle_seconds():
            self._await_expiry(connection, idle_since)
        else:
            self._start_close(connection)

    def _choose_idle_seconds(self) -> float:
        return max(_MIN_IDLE_SECONDS, self._read_timeouts().idle)

    def _start_close(self, connection: web.RequestHandler) -> None:
        self._idle.pop(connection, None)
        self._start(self._close([connection]))

    def _start(self, closing: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(closing)
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)

    def _close_unless_used(self, connection: web.RequestHandler) -> None:
        """Close a connection unless a call has come or arrives meanwhile."""
        transport = connection.transport
        if transport is None or transport.is_closing():
            return
        if connection in self._busy:
            transport.resume_reading()
            return
        if _has_unread(connection):
            self._restart_expiry(connection)
            transport.resume_reading()
            return
        connection.close()
        transport.close()

    def _abort_unless_used(self, connection: web.RequestHandler) -> None:
        if connection in self._awaiting_first:
            self._start(self._abort(connection))

    def _forget(self, connection: web.RequestHandler) -> None:
        """Cancel the timers of a connection, which would keep it in memory."""
        for timers in (self._awaiting_first, self._idle):
            timer = timers.pop(connection, None)
            if timer is not None:
                timer.cancel()


async def _let_calls_begin(connections: list[web.RequestHandler]) -> None:
    """Pause reading, and let calls that have been read reach handlers."""
    for connection in connections:
        # aiohttp lists a connection that its caller has just closed until its
        # task has ended.
        if connection.transport is not None:
            connection.transport.pause_reading()
    for _ in range(_READING_ITERATIONS):
        await asyncio.sleep(0)


def _has_unread(connection: web.RequestHandler) -> bool:
    """Return whether something has arrived that was not read."""
    if connection.transport is None:
        return False
    arrived = select.poll()
    arrived.register(
        connection.transport.get_extra_info('socket'), select.POLLIN
    )
    return bool(arrived.poll(0))
