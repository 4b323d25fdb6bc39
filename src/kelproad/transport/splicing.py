"""Two connections whose bytes are forwarded to each other.

The end of either is passed on as it was: an orderly end after all bytes, a
reset as a reset, so that a body cut short does not look complete.
"""

import asyncio
from collections.abc import Callable

from .sockets import reset_on_close

__all__ = ['splice']


def splice(
    client: asyncio.Transport,
    server: asyncio.Transport,
    on_end: Callable[[], None],
) -> None:
    """Forward bytes between two connections until both have ended.

    The client has no further request once it ends its sending, so the end of
    the client ends the server as well.

    Parameters
    ----------
    client, server
        The connections; their protocols are replaced.
    on_end
        Called once both are closed.
    """
    ends = [
        _Forwarder(client, server, forwards_end=False),
        _Forwarder(server, client, forwards_end=True),
    ]
    open_ends = set(ends)

    def end(forwarder: _Forwarder) -> None:  # noqa: WPS430  closure
        open_ends.discard(forwarder)
        if not open_ends:
            on_end()

    for forwarder in ends:
        forwarder.start(end)


class _Forwarder(asyncio.Protocol):
    """Forwards what it receives on one connection to the other one."""

    def __init__(
        self,
        source: asyncio.Transport,
        target: asyncio.Transport,
        forwards_end: bool,
    ) -> None:
        """Forward from a source to a target.

        With ``forwards_end`` the end of the source ends only the sending on the
        target; otherwise both are closed.
        """
        self._source = source
        self._target = target
        self._forwards_end = forwards_end
        self._on_close: Callable[[_Forwarder], None] | None = None

    def start(self, on_close: Callable[['_Forwarder'], None]) -> None:
        """Take over the source; ``on_close`` is called once it is closed."""
        self._on_close = on_close
        if self._source.is_closing():
            self.connection_lost(None)
        else:
            self._source.set_protocol(self)
            self._source.resume_reading()

    def data_received(self, data: bytes) -> None:
        """Forward bytes."""
        self._target.write(data)

    def eof_received(self) -> bool:
        """Forward the end; return whether the source stays open."""
        if self._forwards_end and self._target.can_write_eof():
            self._target.write_eof()
            return True
        return False

    def pause_writing(self) -> None:
        """Read no more from the target's source, which is slower."""
        if not self._target.is_closing():
            self._target.pause_reading()

    def resume_writing(self) -> None:
        """Read from the other connection again."""
        if not self._target.is_closing():
            self._target.resume_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        """Close the other connection in the same way."""
        if exc is None:
            self._target.close()
        else:
            reset_on_close(self._target)
            self._target.abort()
        if self._on_close is not None:
            self._on_close(self)
