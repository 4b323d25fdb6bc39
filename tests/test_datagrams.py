"""Datagrams between instances."""

import asyncio
import socket
import time
from collections.abc import Callable

import pytest

from kelproad.transport.addresses import Address
from kelproad.transport.datagrams import DatagramSocket
from testbed.processes import find_free_address

#: Seconds without a turn of the event loop, of a process that was frozen and of
#: one that is busy.
FROZEN = 1.3
#: Datagrams that wait meanwhile.
WAITING = 5
BUSY = 0.5


async def open_pair(
    receive: Callable[[bytes, str], None],
    receive_outdated: Callable[[bytes, str, float], None] | None = None,
) -> tuple[DatagramSocket, DatagramSocket, Address]:
    """Open a sender, and a receiver at the address that is returned."""
    address = Address.from_text(find_free_address())
    sender = DatagramSocket(lambda _datagram, _host: None)
    await sender.open(Address('127.0.0.1', 0))
    receiver = DatagramSocket(receive, receive_outdated)
    await receiver.open(address)
    return sender, receiver, address


async def test_an_error_of_one_peer_hinders_no_other() -> None:
    """A closed port somewhere would end what is heard from the others."""
    received: list[tuple[bytes, str]] = []
    sender, receiver, address = await open_pair(
        lambda *datagram: received.append(datagram)
    )
    sender.send(b'lost', Address.from_text(find_free_address()))
    receiver.send(b'lost', Address.from_text(find_free_address()))
    await asyncio.sleep(0.05)
    sender.send(bytes(70_000), address)
    sender.send(b'heard', address)
    await asyncio.sleep(0.05)
    assert received == [(b'heard', '127.0.0.1')]
    sender.close()
    receiver.close()


async def test_a_receiver_may_close_its_socket() -> None:
    """A departure that is read during a stop would raise in the event loop."""
    failures: list[object] = []
    asyncio.get_running_loop().set_exception_handler(
        lambda _loop, context: failures.append(context)
    )
    sender, receiver, address = await open_pair(
        lambda _datagram, _host: receiver.close()
    )
    for _ in range(3):
        sender.send(b'leaving', address)
    await asyncio.sleep(0.05)
    receiver.send(b'late', address)
    assert not failures
    sender.close()


@pytest.mark.parametrize('apart', [False, True])
async def test_what_waited_while_the_process_was_frozen_is_told_apart(
    apart: bool,
) -> None:
    """Ages in reports count from receipt: what is outdated seemed current."""
    received: list[tuple[bytes, str]] = []
    outdated: list[tuple[bytes, str, float]] = []

    def keep_apart(datagram: bytes, host: str, waited: float) -> None:
        outdated.append((datagram, host, waited))

    sender, receiver, address = await open_pair(
        lambda *datagram: received.append(datagram),
        keep_apart if apart else None,
    )
    sender.send(b'before', address)
    await asyncio.sleep(0.05)
    for _ in range(WAITING):
        sender.send(b'outdated', address)
    time.sleep(FROZEN)
    await asyncio.sleep(0.05)
    sender.send(b'after', address)
    await asyncio.sleep(0.05)
    assert received == [(b'before', '127.0.0.1'), (b'after', '127.0.0.1')]
    assert len(outdated) == WAITING * apart
    assert all(waited > 1 for _, _, waited in outdated)
    assert all(host == '127.0.0.1' for _, host, _ in outdated)
    sender.close()
    receiver.close()


async def test_a_busy_process_loses_no_datagram() -> None:
    """Reports would be lost whenever a call takes the event loop for long."""
    received: list[tuple[bytes, str]] = []
    sender, receiver, address = await open_pair(
        lambda *datagram: received.append(datagram)
    )
    for _ in range(3):
        await asyncio.sleep(0.05)
        sender.send(b'sent', address)
        time.sleep(BUSY)
    await asyncio.sleep(0.05)
    assert received == [(b'sent', '127.0.0.1') for _ in range(3)]
    sender.close()
    receiver.close()


async def test_an_address_in_use_leaves_no_socket_open() -> None:
    """An instance that is started twice would keep a socket without use."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as used:
        used.bind(('127.0.0.1', 0))
        unopened = DatagramSocket(lambda _datagram, _host: None)
        with pytest.raises(OSError, match='in use'):
            await unopened.open(Address('127.0.0.1', used.getsockname()[1]))
        unopened.close()
