"""Datagrams between instances."""

import asyncio
import logging
import socket
import time
from collections.abc import Callable

import pytest

from kelproad.state.records import EVENT_FIELDS
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


@pytest.mark.parametrize(
    'host', ['edge-1', 'a' * 70, 'a..b', '\x00', '\ud800', '', 'fe80::1%lo']
)
async def test_a_host_that_is_no_ip_number_ends_no_socket(host: str) -> None:
    """Guards against rows of instances that cut off all that read them."""
    received: list[bytes] = []
    sender, receiver, address = await open_pair(
        lambda datagram, _host: received.append(datagram)
    )
    sender.send(b'lost', Address(host, address.port))
    await asyncio.sleep(0.05)
    sender.send(b'heard', address)
    await asyncio.sleep(0.05)
    assert received == [b'heard']
    sender.close()
    receiver.close()


async def test_no_name_is_resolved(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a resolver that holds the event loop of all instances."""
    sender, receiver, _ = await open_pair(lambda _datagram, _host: None)
    sent: list[object] = []
    monkeypatch.setattr(
        sender,
        '_transport',
        type('Transport', (), {'sendto': lambda _, *told: sent.append(told)})(),
    )
    sender.send(b'lost', Address('edge-1.example', 1))
    assert not sent
    monkeypatch.undo()
    sender.close()
    receiver.close()


async def test_a_socket_that_is_lost_is_opened_again(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against an instance that hears nobody until its restart."""
    caplog.set_level(logging.INFO)
    received: list[bytes] = []
    sender, receiver, address = await open_pair(
        lambda datagram, _host: received.append(datagram)
    )
    receiver._transport.abort()
    async with asyncio.timeout(2):
        while not received:
            await asyncio.sleep(0.05)
            sender.send(b'heard', address)
    told = [line.getMessage() for line in caplog.records]
    assert told == ['datagram_socket_lost', 'datagram_socket_opened']
    sender.close()
    receiver.close()
    await asyncio.sleep(0.05)
    assert len(caplog.records) == 2


async def test_a_socket_that_is_lost_may_be_closed() -> None:
    """Guards against a socket that a stopped instance opens again."""
    sender, receiver, _ = await open_pair(lambda _datagram, _host: None)
    receiver._transport.abort()
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    receiver.close()
    await asyncio.sleep(0.3)
    assert receiver._transport is None
    sender.close()


@pytest.mark.parametrize('frozen', [False, True])
async def test_an_error_in_the_handling_of_one_datagram_is_told(
    frozen: bool, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against errors that nobody counts, and datagrams lost with one."""
    caplog.set_level(logging.INFO)
    received: list[bytes] = []
    failures: list[None] = []

    def receive(datagram: bytes, _host: str, _waited: float = 0) -> None:
        if datagram == b'odd':
            raise KeyError(datagram)
        received.append(datagram)

    address = Address.from_text(find_free_address())
    receiver = DatagramSocket(receive, receive, lambda: failures.append(None))
    await receiver.open(address)
    sender, other, _ = await open_pair(lambda _datagram, _host: None)
    for datagram in (b'odd', b'odd', b'sound'):
        sender.send(datagram, address)
    if frozen:
        time.sleep(FROZEN)
    await asyncio.sleep(0.05)
    assert received == [b'sound']
    assert len(failures) == 2
    failed = [
        line
        for line in caplog.records
        if line.getMessage() == 'datagram_failed'
    ]
    assert len(failed) == 1
    assert getattr(failed[0], EVENT_FIELDS)['host'] == '127.0.0.1'
    assert failed[0].exc_info[0] is KeyError
    for opened in (sender, other, receiver):
        opened.close()


async def test_a_datagram_that_is_too_large_is_told(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against an instance that falls silent without a line."""
    sender, receiver, address = await open_pair(lambda _datagram, _host: None)
    for _ in range(3):
        sender.send(bytes(70_000), address)
    told = [line.getMessage() for line in caplog.records]
    assert told == ['datagram_too_large']
    sender.close()
    receiver.close()
