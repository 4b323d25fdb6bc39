"""Peers as they report, are silent and start anew."""

import pytest

from kelproad.coordination.ingress.membership import peers as peers_module
from kelproad.coordination.ingress.membership.peers import PeerRegister
from kelproad.coordination.ingress.membership.reachability import (
    ZoneReachability,
)
from kelproad.coordination.ingress.membership.updates import (
    PeerUpdate,
    ZoneReader,
)
from kelproad.coordination.ingress.settings import NodeSettings
from kelproad.coordination.ingress.tables.confirming import (
    ConfirmedElsewhere,
    judge_confirmed,
)
from kelproad.coordination.ingress.tables.tablestates import Provenance
from kelproad.transport.addresses import Address

PEER = '10.0.0.2'


@pytest.fixture
def greeted() -> list[str]:
    """Create a list of the peers that are told what is known."""
    return []


@pytest.fixture
def peers(greeted: list[str]) -> PeerRegister:
    """Create the register of an instance that knows no peer."""
    settings = NodeSettings(
        instance='here',
        zone='a',
        ip='10.0.0.1',
        caller_address=Address('10.0.0.1', 1),
        ready_address=Address('10.0.0.1', 2),
        peer_port=7340,
        store_address=Address('10.0.0.9', 3),
    )
    register = PeerRegister(settings, ZoneReachability())
    register.on_heard.append(greeted.append)
    return register


def hear(
    peers: PeerRegister,
    now: float,
    sequence: int,
    started_at: int = 1,
    unconfirmed_for: float | None = 0,
    provenance: Provenance | None = None,
    zone_reader: ZoneReader | None = None,
) -> None:
    """Receive a report of the peer."""
    peers.accept(
        PeerUpdate(
            'there',
            PEER,
            'a',
            started_at,
            sequence,
            False,
            unconfirmed_for,
            [],
            provenance=provenance,
            zone_reader=zone_reader,
        ),
        now,
    )


def test_a_peer_that_starts_anew_is_told_what_is_known(
    peers: PeerRegister, greeted: list[str]
) -> None:
    """Guards against an instance that restarts at once and knows nothing."""
    hear(peers, 10.0, 1)
    hear(peers, 10.5, 2)
    assert greeted == [PEER]
    hear(peers, 11.0, 1, started_at=2)
    hear(peers, 11.5, 2, started_at=2)
    assert greeted == [PEER, PEER]
    hear(peers, 11.6, 3, started_at=1)
    assert greeted == [PEER, PEER]
    hear(peers, 20.0, 3, started_at=2)
    assert greeted == [PEER, PEER, PEER]


@pytest.mark.parametrize(
    ('ages', 'is_cut_off', 'judged'),
    [
        ((0.3, 1.9, 9.0), False, ConfirmedElsewhere.WIDELY),
        ((0.3, 9.0), True, ConfirmedElsewhere.WIDELY),
        ((0.1, 2.1, 9.0), False, ConfirmedElsewhere.PARTLY),
        ((2.1, 9.0), True, ConfirmedElsewhere.PRESUMABLY),
        ((), True, ConfirmedElsewhere.PRESUMABLY),
        ((2.1, float('inf')), False, ConfirmedElsewhere.NOWHERE),
        ((), False, ConfirmedElsewhere.NOWHERE),
    ],
)
def test_what_is_known_of_other_instances_is_told_apart(
    ages: tuple[float, ...], is_cut_off: bool, judged: ConfirmedElsewhere
) -> None:
    """Guards against callers sent on to instances that can't serve either."""
    assert judge_confirmed(ages, is_cut_off) is judged


def test_reports_age_while_all_machines_are_suspended(
    peers: PeerRegister, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against old confirmations that pass for fresh after a pause."""
    boot_now = 500.0
    monkeypatch.setattr(peers_module, 'read_boottime', lambda: boot_now)
    hear(peers, 10.0, 1)
    assert peers.judge_confirmed(10.1) is ConfirmedElsewhere.WIDELY
    boot_now = 560.0
    assert peers.judge_confirmed(10.2) is ConfirmedElsewhere.NOWHERE


def test_a_peer_that_starts_anew_has_confirmed_nothing(
    peers: PeerRegister,
) -> None:
    """Guards against confirmations of a process that has ended."""
    hear(peers, 10.0, 1)
    hear(peers, 10.1, 1, started_at=2, unconfirmed_for=None)
    assert peers.judge_confirmed(10.1) is ConfirmedElsewhere.NOWHERE


def test_it_is_told_once_that_a_peer_can_serve_tables(
    peers: PeerRegister,
) -> None:
    """Guards against waiting for a turn while a peer has heard the store."""
    told: list[None] = []
    peers.on_able.append(lambda: told.append(None))
    hear(peers, 10.0, 1)
    hear(peers, 10.1, 2, provenance=Provenance.SAME_ZONE)
    assert not told
    hear(peers, 10.2, 3, provenance=Provenance.STORE)
    hear(peers, 10.3, 4, provenance=Provenance.STORE)
    assert len(told) == 1
    hear(peers, 10.4, 5)
    hear(peers, 10.5, 6, provenance=Provenance.OTHER_ZONE)
    assert len(told) == 2
    hear(peers, 20.0, 7, provenance=Provenance.OTHER_ZONE)
    assert len(told) == 3


def test_it_is_told_once_who_reads_the_store_in_another_zone(
    peers: PeerRegister,
) -> None:
    """Guards against zones of large fleets that hear of a reader late."""
    told: list[None] = []
    peers.on_able.append(lambda: told.append(None))
    reader = ZoneReader('reader', '10.0.0.3', Provenance.STORE)
    hear(peers, 10.0, 1, zone_reader=reader)
    hear(peers, 10.1, 2, zone_reader=reader)
    assert len(told) == 1
    other = ZoneReader('other', '10.0.0.4', Provenance.STORE)
    hear(peers, 10.2, 3, zone_reader=other)
    assert len(told) == 2
