"""Instances that are behind others, whatever the cause."""

import random
import types

import attrs
import pytest
from returns.result import Success

from kelproad.coordination.ingress.membership import catchup as catchup_module
from kelproad.coordination.ingress.membership.catchup import (
    ConfigurationCatchUp,
)
from kelproad.coordination.ingress.membership.peers import PeerRegister
from kelproad.coordination.ingress.membership.reachability import (
    ZoneReachability,
)
from kelproad.coordination.ingress.membership.updates import PeerUpdate
from kelproad.coordination.ingress.settings import Bounds, NodeSettings
from kelproad.transport.addresses import Address
from kelproad.transport.exchanges import Reply

PEER = '10.0.0.2'


@attrs.define
class Tables:
    """Tables and holder of an instance that fetches versions as they are."""

    version: int | None = 5
    confirmation: types.SimpleNamespace = attrs.field(
        factory=lambda: types.SimpleNamespace(
            is_compared=True, is_settled=True, mark_compared=list
        )
    )

    def adopt_held(self, encoded: bytes) -> bool:
        """Adopt a version if it is newer."""
        newer = int(encoded) > self.version
        self.version = max(self.version, int(encoded))
        return newer


@attrs.define
class Instance:
    """An instance with one peer, which serves a configuration."""

    now: float = 100.0
    tables: Tables = attrs.field(factory=Tables)
    served: bytes = b'9'
    fetched: int = 0
    listed: bool = True
    peers: PeerRegister = attrs.field(init=False)
    catch_up: ConfigurationCatchUp = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Build the parts."""
        settings = NodeSettings(
            instance='here',
            zone='a',
            ip='10.0.0.1',
            caller_address=Address('10.0.0.1', 1),
            ready_address=Address('10.0.0.1', 2),
            peer_port=7340,
            store_address=Address('10.0.0.9', 3),
        )
        self.peers = PeerRegister(settings, ZoneReachability())
        self.catch_up = ConfigurationCatchUp(
            self.tables,
            self.tables,
            self.peers,
            self._is_instance,
            None,
            Bounds(),
            random.Random(1),
        )

    def hear(self, version: int | None) -> None:
        """Receive the report of the peer."""
        sequence = round(self.now * 100)
        update = PeerUpdate('there', PEER, 'a', 1, sequence, False, 0, [])
        update.configuration = version
        self.peers.accept(update, self.now)

    async def run(self, seconds: float, version: int) -> None:
        """Compare for some seconds, while the peer reports a version."""
        until = self.now + seconds
        while self.now < until:
            self.hear(version)
            await self.catch_up.check(self.tables.version)
            self.now += 0.2

    async def fetch(self, *_arguments: object, **_more: object) -> Success:
        """Serve the configuration of the peer."""
        self.fetched += 1
        return Success(Reply(200, self.served))

    async def _is_instance(self, _host: str) -> bool:
        return self.listed


@pytest.fixture
def instance(monkeypatch: pytest.MonkeyPatch) -> Instance:
    """Create an instance whose clock the test sets."""
    made = Instance()
    monkeypatch.setattr(catchup_module, 'monotonic', lambda: made.now)
    monkeypatch.setattr(catchup_module, 'exchange', made.fetch)
    return made


async def test_an_instance_that_stays_behind_catches_up(
    instance: Instance,
) -> None:
    """Guards against an old configuration that stays without an error."""
    await instance.run(0.9, 9)
    assert not instance.fetched
    await instance.run(0.5, 9)
    assert instance.tables.version == 9
    assert not instance.catch_up.is_behind


async def test_after_a_restoration_it_catches_up_at_once(
    instance: Instance,
) -> None:
    """Guards against the copy's configuration where others know more."""
    instance.tables.confirmation.is_settled = False
    await instance.run(0.1, 9)
    assert instance.tables.version == 9


async def test_what_strangers_say_is_not_fetched(instance: Instance) -> None:
    """Guards against a configuration that anybody can hand over."""
    instance.listed = False
    await instance.run(4, 9)
    assert not instance.fetched
    assert not instance.catch_up.is_behind


async def test_a_false_report_is_ignored(instance: Instance) -> None:
    """Guards against instances that one wrong report takes out."""
    instance.served = b'5'
    await instance.run(4, 9)
    assert instance.fetched == 1
    assert not instance.catch_up.is_behind


async def test_an_instance_that_cannot_catch_up_says_so(
    instance: Instance,
) -> None:
    """Guards against calls that are sent where the configuration is old."""

    async def fail(  # noqa: WPS430  closure
        *_arguments: object, **_more: object
    ) -> Success:
        return Success(Reply(500, b''))

    catchup_module.exchange = fail
    await instance.run(2.5, 9)
    assert instance.catch_up.is_behind


async def test_a_new_instance_waits_for_others(instance: Instance) -> None:
    """Guards against the copy's configuration at an instance that starts."""
    compared = []
    instance.tables.confirmation.is_compared = False
    instance.tables.confirmation.mark_compared = lambda: compared.append(1)
    await instance.catch_up.check(5)
    assert not compared
    instance.hear(None)
    await instance.catch_up.check(5)
    assert compared


# Rows of instances that are back


def test_an_older_row_does_not_replace_a_live_instance() -> None:
    """Guards against datagrams to the address of an earlier incarnation."""
    instance = Instance()
    update = PeerUpdate('there', PEER, 'a', 50, 1, False, 0, [])
    instance.peers.accept(update, 100)
    instance.peers.add_listed('there', '10.0.0.7', 'a', 40, 101)
    assert instance.peers.list_hosts() == [PEER]
    instance.peers.add_listed('there', '10.0.0.7', 'a', 60, 101)
    assert instance.peers.list_hosts() == ['10.0.0.7']
