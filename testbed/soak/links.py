"""A loopback TCP proxy that injects faults into its connections."""

import asyncio
import contextlib
import ctypes
import enum
import ipaddress
import socket
import struct

__all__ = ['Cut', 'LinkFault', 'Link']

_CHUNK = 65_536
#: Socket options of Linux that set and remove a packet filter.
_SO_ATTACH_FILTER = 26
_SO_DETACH_FILTER = 27
#: Instructions of a packet filter: load a word, compare it, return.
_LOAD = 0x20
_JUMP_IF_EQUAL = 0x15
_RETURN = 0x6
#: Offset of the source address in the IP header, marked as such an offset.
_SOURCE_OFFSET = 0xFFF0000C
_ACCEPT_ALL = 0xFFFFFFFF


class Cut(enum.StrEnum):
    """How a link is cut for some of the hosts that connect to it."""

    #: Packets are lost: connections hang, open ones fall silent.
    HANG = 'hang'
    #: Open connections and new ones are reset.
    RESET = 'reset'
    #: Open connections go on, new ones hang.
    NEW_HANG = 'new-hang'
    #: Connections are made, and bring nothing.
    MUTE = 'mute'


#: Those in which no packet of a new connection arrives, and those in which
#: bytes of connections are dropped.
_CUTS_OF_NEW = frozenset((Cut.HANG, Cut.NEW_HANG))
_DROPPING_CUTS = frozenset((Cut.HANG, Cut.MUTE))


class LinkFault(enum.StrEnum):
    """Fault that the proxy applies to its connections."""

    NONE = 'none'
    #: Bytes are forwarded with a delay.
    DELAYED = 'delayed'
    #: Bytes are dropped in both directions, without any error.
    SILENT = 'silent'
    #: The same, but only on connections that are open when it begins.
    OPEN_SILENT = 'open silent'
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
        self._cut: Cut | None = None
        self._cut_hosts: frozenset[str] = frozenset()
        self._writers: set[asyncio.StreamWriter] = set()
        #: Writers to the hosts that connected, by writer.
        self._sources: dict[asyncio.StreamWriter, str] = {}
        #: Those of the hosts whose open connections have been silenced.
        self._silenced: set[asyncio.StreamWriter] = set()
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
        """Set the fault of all connections, open and new ones.

        Open connections that are silenced stay silent.
        """
        self._fault = harm
        self._delay = delay
        if harm is LinkFault.RESET:
            self._abort_connections()
        if harm is LinkFault.OPEN_SILENT:
            self._silenced.update(self._sources)

    def cut_from(self, hosts: frozenset[str], cut: Cut) -> None:
        """Cut the link for connections from some hosts."""
        self._cut = cut
        self._cut_hosts = hosts
        if cut in _CUTS_OF_NEW:
            _drop_from(self._server.sockets[0], hosts)
        for writer, source in self._sources.items():
            if source in hosts and cut is Cut.RESET:
                _reset(writer)
            elif source in hosts and cut is Cut.HANG:
                # A connection that has just closed has nothing to drop.
                with contextlib.suppress(OSError):
                    _drop_from(writer.get_extra_info('socket'), hosts)

    def heal(self) -> None:
        """End the fault; connections that lost bytes stay silent."""
        self.harm(LinkFault.NONE)

    def end_cut(self) -> None:
        """End the cut; connections that lost bytes stay silent."""
        self._cut = None
        self._cut_hosts = frozenset()
        for accepted in (self._server.sockets[0], *self._list_accepted()):
            _accept_from_all(accepted)

    def _list_accepted(self) -> list[socket.socket]:
        return [
            writer.get_extra_info('socket')
            for writer in self._sources
            if not writer.is_closing()
        ]

    async def _handle_connection(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        source, _ = writer.get_extra_info('peername')
        if self._cut is Cut.RESET and source in self._cut_hosts:
            _reset(writer)
            return
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
        self._sources[writer] = source
        tasks = (
            asyncio.create_task(
                self._forward(reader, target_writer, writer, is_request=True)
            ),
            asyncio.create_task(
                self._forward(target_reader, writer, writer, is_request=False)
            ),
        )
        self._tasks.update(tasks)
        # The loop ends with connections open; asyncio would log a traceback.
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.wait(tasks)
        self._tasks.difference_update(tasks)
        self._writers -= {writer, target_writer}
        self._sources.pop(writer, None)
        self._silenced.discard(writer)

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        accepted: asyncio.StreamWriter,
        is_request: bool,
    ) -> None:
        """Forward bytes in one direction until the end of the stream.

        ``accepted`` writes to the host that connected.
        """
        is_dropping = False
        try:
            while chunk := await reader.read(_CHUNK):
                # A connection that has lost bytes can't be resumed.
                is_dropping = is_dropping or self._drops(accepted, is_request)
                if is_dropping:
                    continue
                if self._fault is LinkFault.DELAYED:
                    await asyncio.sleep(self._delay)
                writer.write(chunk)
                await writer.drain()
        except OSError:
            _reset(writer)
        finally:
            writer.close()

    def _drops(self, accepted: asyncio.StreamWriter, is_request: bool) -> bool:
        if accepted in self._silenced:
            return True
        source = self._sources.get(accepted)
        if self._cut in _DROPPING_CUTS and source in self._cut_hosts:
            return True
        if self._fault is LinkFault.SILENT:
            return True
        return self._fault is LinkFault.ONE_WAY and not is_request

    def _abort_connections(self) -> None:
        for writer in self._writers:
            writer.transport.abort()


def _reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection so that its other end gets a reset."""
    linger = struct.pack('ii', 1, 0)
    accepted = writer.get_extra_info('socket')
    # It may be closed already.
    with contextlib.suppress(OSError):
        accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


def _drop_from(receiver: socket.socket, hosts: frozenset[str]) -> None:
    """Let the kernel drop the packets of some hosts to a socket.

    A connection from them then hangs, as it does to a machine without power; a
    proxy can only accept it or have it refused for everybody.
    """
    load = (_LOAD, 0, 0, _SOURCE_OFFSET)
    comparisons = [
        (_JUMP_IF_EQUAL, len(hosts) - index, 0, int(ipaddress.ip_address(host)))
        for index, host in enumerate(sorted(hosts))
    ]
    returns = ((_RETURN, 0, 0, _ACCEPT_ALL), (_RETURN, 0, 0, 0))
    instructions = (load, *comparisons, *returns)
    encoded = b''.join(struct.pack('HBBI', *item) for item in instructions)
    program = ctypes.create_string_buffer(encoded)
    receiver.setsockopt(
        socket.SOL_SOCKET,
        _SO_ATTACH_FILTER,
        struct.pack('HL', len(instructions), ctypes.addressof(program)),
    )


def _accept_from_all(receiver: socket.socket) -> None:
    """Remove the packet filter of a socket, if it is open and has one."""
    with contextlib.suppress(OSError):
        receiver.setsockopt(socket.SOL_SOCKET, _SO_DETACH_FILTER, 0)
