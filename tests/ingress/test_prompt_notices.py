"""What instances tell each other of parts, each with what it knows itself."""

import asyncio

from returns.result import Result, Success

from kelproad.coordination.ingress.quarantine.notices import PromptNotices
from kelproad.coordination.ingress.quarantine.rows import QuarantineRows
from kelproad.coordination.ingress.tables.tablestates import StoredRow
from kelproad.state.quarantine import PartQuarantine
from kelproad.state.suspicions import EndedCall, PartState
from kelproad.transport.deadlines import monotonic

SERVICE = 'writer'
PART = 'system-1'
#: Seconds in which all ends are told.
LATER = 0.05
#: Seconds in which all is told again.
REPEATED = 0.7
#: Parts of an answer, and the datagrams that tell an instance of all.
PARTS = 20
DATAGRAMS = 3
HOSTS = ('10.0.0.1', '10.0.0.2', '10.0.0.3')


class Peer:
    """An instance with peers, whose notices reach them at once."""

    def __init__(self, host: str, peers: dict[str, 'Peer']) -> None:
        """Join the peers."""
        self.host = host
        self.peers = peers
        self.is_cut_off = False
        self.sent = 0
        self.parts = PartQuarantine(lambda _service: 30)
        self.notices = PromptNotices(self.parts, self, self)
        peers[host] = self

    def list_hosts(self) -> list[str]:
        """List the addresses of the other instances."""
        return [host for host in self.peers if host != self.host]

    def announce(self, notice: object, host: str) -> None:
        """Send a notice to one of them."""
        self.sent += 1
        peer = self.peers.get(host)
        if peer is not None and not peer.is_cut_off:
            peer.notices.accept(notice(0, self.host, 'a'))

    def end(self, number: int, at: float, request: str = '') -> None:
        """Find that an engine ended under a call of its own."""
        ended = EndedCall(
            SERVICE,
            f'i-{number} 1',
            frozenset((PART,)),
            frozenset(('crews',)),
            at,
            at,
            confirmed=True,
            fingerprint=request or f'request-{number}',
        )
        self.parts.record_end(ended, at)
        self.notices.announce_end(ended)

    def judge(self, now: float, request: str = 'another') -> PartState:
        """Judge a request with the part."""
        judgement = self.parts.judge(
            SERVICE, [PART], 'crews', now, lambda: request
        )
        return judgement.state


def start_peers() -> list[Peer]:
    """Start instances that know of nothing."""
    peers: dict[str, Peer] = {}
    return [Peer(host, peers) for host in HOSTS]


async def test_what_one_instance_knows_to_be_sound_is_so_for_all() -> None:
    """Guards against sound calls refused where nobody had an answer lately."""
    reporting, knowing, third = start_peers()
    now = monotonic()
    knowing.parts.record_harmless(SERVICE, [PART], now)
    for number in range(3):
        reporting.end(number, now + number / 10)
    await asyncio.sleep(LATER)
    assert knowing.judge(now + 1) is PartState.HARMLESS
    assert reporting.judge(now + 1) is PartState.HARMLESS
    assert third.judge(now + 1) is PartState.HARMLESS


async def test_an_answer_is_told_again_to_those_who_missed_it() -> None:
    """Guards against sound calls refused where one datagram was lost."""
    answering, reporting, third = start_peers()
    now = monotonic()
    for number in range(3):
        reporting.end(number, now + number / 10)
    await asyncio.sleep(LATER)
    assert third.judge(now + 1) is PartState.QUARANTINED
    third.is_cut_off = True
    answering.parts.record_harmless(SERVICE, [PART], now + 1)
    answering.notices.announce_harmless(SERVICE, [PART])
    third.is_cut_off = False
    async with answering.notices, reporting.notices:
        await asyncio.sleep(REPEATED)
    assert third.judge(now + 1) is PartState.HARMLESS


async def test_an_answer_to_many_parts_takes_few_datagrams() -> None:
    """Guards against a datagram to each instance for each part of an answer."""
    answering = start_peers()[0]
    answering.notices.announce_harmless(
        SERVICE, [f'part-{number}' for number in range(PARTS)]
    )
    assert answering.sent == DATAGRAMS * (len(HOSTS) - 1)


class Store:
    """Rows that instances write, the newest of each key."""

    def __init__(self) -> None:
        """Hold no rows."""
        self.rows: dict[str, StoredRow] = {}

    async def write(self, key: str, encoded: bytes) -> Result[None, str]:
        """Write a row."""
        self.rows[key] = StoredRow(key, encoded, 1)
        return Success(None)

    async def start_peer(self) -> Peer:
        """Start an instance that knows what is written."""
        await asyncio.sleep(LATER)
        peer = Peer('10.0.0.4', {})
        rows = QuarantineRows(peer.parts, self.write)
        for row in self.rows.values():
            assert rows.adopt(row)
        return peer


async def test_a_new_instance_knows_which_request_ended_the_engines() -> None:
    """Guards against a shared part refused for what one request asks for."""
    reporting, store = start_peers()[0], Store()
    now = monotonic()
    for number in range(3):
        reporting.end(number, now + number / 10, 'lethal')
    reporting.end(1, now + 1 / 10, 'beside')
    QuarantineRows(reporting.parts, store.write).keep(SERVICE, [PART])
    new = await store.start_peer()
    assert new.judge(now + 1, 'lethal') is PartState.QUARANTINED
    assert new.judge(now + 1) is PartState.SUSPECT


async def test_a_request_stays_barred_when_all_instances_start_anew() -> None:
    """Guards against three more ends once nobody is left who knew of them."""
    reporting, store = start_peers()[0], Store()
    now = monotonic()
    for number in range(3):
        reporting.end(number, now + number / 10, 'lethal')
    rows = QuarantineRows(reporting.parts, store.write)
    rows.keep(SERVICE, ['lethal'])
    new = await store.start_peer()
    assert new.parts.requests.is_barred('lethal')
    assert new.judge(now + 1) is PartState.HARMLESS
    reporting.parts.record_answered(SERVICE, 'lethal', now + 1)
    rows.keep_request('lethal')
    newer = await store.start_peer()
    assert not newer.parts.requests.is_barred('lethal')


async def test_an_instance_heard_anew_suspects_no_part_that_was_cleared() -> (
    None
):
    """Guards against sound calls that wait as an instance restarts."""
    reporting = start_peers()[0]
    now = monotonic()
    for number in range(3):
        reporting.end(number, now + number / 10, 'lethal')
    reporting.parts.record_harmless(SERVICE, [PART], now + 1)
    new = Peer('10.0.0.4', reporting.peers)
    reporting.notices.greet(new.host)
    assert new.parts.requests.is_barred('lethal')
    assert new.judge(now + 2) is PartState.HARMLESS
