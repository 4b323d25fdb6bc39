"""Datagrams between instances."""

import asyncio
import socket
from collections.abc import Callable

import pytest

from kelproad.transport.addresses import Address
from kelproad.transport.datagrams import DatagramSocket
from testbed.processes import find_free_address

BURST = 20


async def open_pair(
    receive: Callable[[bytes], None],
) -> tuple[DatagramSocket, DatagramSocket, Address]:
    """Open a sender, and a receiver at the address that is returned."""
    address = Address.from_text(find_free_address())
    sender = DatagramSocket(lambda _datagram: None)
    await sender.open(Address('127.0.0.1', 0))
    receiver = DatagramSocket(receive)
    await receiver.open(address)
    return sender, receiver, address


async def test_a_burst_takes_few_iterations_of_the_event_loop() -> None:
    """Instances would spend most of their time between datagrams."""
    received: list[bytes] = []
    sender, receiver, address = await open_pair(received.append)
    sent = [str(number).encode() for number in range(BURST)]
    for datagram in sent:
        sender.send(datagram, address)
    for _ in range(3):
        await asyncio.sleep(0)
    assert received == sent
    sender.close()
    receiver.close()


async def test_an_error_of_one_peer_hinders_no_other() -> None:
    """A closed port somewhere would end what is heard from the others."""
    received: list[bytes] = []
    sender, receiver, address = await open_pair(received.append)
    sender.send(b'lost', Address.from_text(find_free_address()))
    receiver.send(b'lost', Address.from_text(find_free_address()))
    await asyncio.sleep(0.05)
    sender.send(bytes(70_000), address)
    sender.send(b'heard', address)
    await asyncio.sleep(0.05)
    assert received == [b'heard']
    sender.close()
    receiver.close()


async def test_a_receiver_may_close_its_socket() -> None:
    """A departure that is read during a stop would raise in the event loop."""
    failures: list[object] = []
    asyncio.get_running_loop().set_exception_handler(
        lambda _loop, context: failures.append(context)
    )
    sender, receiver, address = await open_pair(
        lambda _datagram: receiver.close()
    )
    for _ in range(3):
        sender.send(b'leaving', address)
    await asyncio.sleep(0.05)
    receiver.send(b'late', address)
    assert not failures
    sender.close()


async def test_an_address_in_use_leaves_no_socket_open() -> None:
    """An instance that is started twice would keep a socket without use."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as used:
        used.bind(('127.0.0.1', 0))
        unopened = DatagramSocket(lambda _datagram: None)
        with pytest.raises(OSError, match='in use'):
            await unopened.open(Address('127.0.0.1', used.getsockname()[1]))
        unopened.close()
