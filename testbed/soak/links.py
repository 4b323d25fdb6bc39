"""A loopback proxy that harms the connections which pass through it."""

import asyncio
import contextlib
import enum

__all__ = ['Harm', 'Link']

_CHUNK = 65_536


class Harm(enum.StrEnum):
    """What happens to connections at present."""

    NONE = 'none'
    #: Bytes come later.
    DELAYED = 'delayed'
    #: Nothing passes, and nobody is told.
    SILENT = 'silent'
    #: What is asked passes, what is answered doesn't.
    ONE_WAY = 'one way'
    #: Open connections and new ones are reset.
    RESET = 'reset'


class Link:
    """One address that stands for another."""

    def __init__(self, name: str, target: str) -> None:
        """Stand for an address; nothing listens yet."""
        self.name = name
        self.address = ''
        self._target = target
        self._harm = Harm.NONE
        self._delay = float(0)
        self._writers: set[asyncio.StreamWriter] = set()
        self._passing: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    async def open(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f'{host}:{port}'

    def close(self) -> None:
        """Stop listening and break what is open."""
        self._server.close()
        self._reset_open()

    def harm(self, harm: Harm, delay: float = 0) -> None:
        """Harm all connections from now on."""
        self._harm = harm
        self._delay = delay
        if harm is Harm.RESET:
            self._reset_open()

    def heal(self) -> None:
        """Let everything pass again; what was silenced stays silent."""
        self.harm(Harm.NONE)

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if self._harm is Harm.RESET:
            writer.transport.abort()
            return
        host, port = self._target.split(':')
        try:
            far_reader, far_writer = await asyncio.open_connection(host, port)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, far_writer}
        passing = (
            asyncio.create_task(self._pass(reader, far_writer, asked=True)),
            asyncio.create_task(self._pass(far_reader, writer, asked=False)),
        )
        self._passing.update(passing)
        # The loop ends while connections are open; asyncio would log a trace.
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.wait(passing)
        self._passing.difference_update(passing)
        self._writers -= {writer, far_writer}

    async def _pass(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        asked: bool,
    ) -> None:
        """Pass bytes on one way until its end."""
        silenced = False
        try:
            while chunk := await reader.read(_CHUNK):
                # A connection that lost bytes once can't go on afterwards.
                silenced = silenced or self._loses(asked)
                if silenced:
                    continue
                if self._harm is Harm.DELAYED:
                    await asyncio.sleep(self._delay)
                writer.write(chunk)
                await writer.drain()
        except OSError:
            writer.transport.abort()
        finally:
            writer.close()

    def _loses(self, asked: bool) -> bool:
        if self._harm is Harm.SILENT:
            return True
        return self._harm is Harm.ONE_WAY and not asked

    def _reset_open(self) -> None:
        for writer in self._writers:
            writer.transport.abort()
