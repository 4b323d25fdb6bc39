"""A loopback TCP proxy that injects faults into its connections."""

import asyncio
import contextlib
import enum

__all__ = ['LinkFault', 'Link']

_CHUNK = 65_536


class LinkFault(enum.StrEnum):
    """Fault that the proxy applies to its connections."""

    NONE = 'none'
    #: Bytes are forwarded with a delay.
    DELAYED = 'delayed'
    #: Bytes are dropped in both directions, without any error.
    SILENT = 'silent'
    #: Requests are forwarded, responses are dropped.
    ONE_WAY = 'one way'
    #: Open connections and new ones are reset.
    RESET = 'reset'


class Link:
    """A proxy with an address of its own to a target address."""

    def __init__(self, name: str, target: str) -> None:
        """Set the target; ``open`` starts to listen."""
        self.name = name
        self.address = ''
        self._target = target
        self._fault = LinkFault.NONE
        self._delay = float(0)
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    async def open(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(
            self._handle_connection, '127.0.0.1', 0
        )
        host, port = self._server.sockets[0].getsockname()
        self.address = f'{host}:{port}'

    def close(self) -> None:
        """Stop listening and abort the open connections."""
        self._server.close()
        self._abort_connections()

    def harm(self, harm: LinkFault, delay: float = 0) -> None:
        """Set the fault of all connections, open and new ones."""
        self._fault = harm
        self._delay = delay
        if harm is LinkFault.RESET:
            self._abort_connections()

    def heal(self) -> None:
        """End the fault; connections that lost bytes stay silent."""
        self.harm(LinkFault.NONE)

    async def _handle_connection(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if self._fault is LinkFault.RESET:
            writer.transport.abort()
            return
        host, port = self._target.split(':')
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, port
            )
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, target_writer}
        tasks = (
            asyncio.create_task(
                self._forward(reader, target_writer, is_request=True)
            ),
            asyncio.create_task(
                self._forward(target_reader, writer, is_request=False)
            ),
        )
        self._tasks.update(tasks)
        # The loop ends with connections open; asyncio would log a traceback.
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.wait(tasks)
        self._tasks.difference_update(tasks)
        self._writers -= {writer, target_writer}

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_request: bool,
    ) -> None:
        """Forward bytes in one direction until the end of the stream."""
        is_dropping = False
        try:
            while chunk := await reader.read(_CHUNK):
                # A connection that has lost bytes can't be resumed.
                is_dropping = is_dropping or self._drops(is_request)
                if is_dropping:
                    continue
                if self._fault is LinkFault.DELAYED:
                    await asyncio.sleep(self._delay)
                writer.write(chunk)
                await writer.drain()
        except OSError:
            writer.transport.abort()
        finally:
            writer.close()

    def _drops(self, is_request: bool) -> bool:
        if self._fault is LinkFault.SILENT:
            return True
        return self._fault is LinkFault.ONE_WAY and not is_request

    def _abort_connections(self) -> None:
        for writer in self._writers:
            writer.transport.abort()
