"""Tables that instances of a zone tell each other, in place of the store."""

import contextlib
import itertools
import operator
import signal
import time
import types
from collections.abc import Iterator

import attrs
import msgspec
import pytest
from returns.result import Success

from kelproad.coordination.ingress import following as following_module
from kelproad.coordination.ingress import relaying as relaying_module
from kelproad.coordination.ingress.caching import TableCache
from kelproad.coordination.ingress.decoding import DecodedState
from kelproad.coordination.ingress.readers import Reader, ReaderSelector
from kelproad.coordination.ingress.relaying import build_answer
from kelproad.coordination.ingress.tables import _FollowedTable
from kelproad.coordination.ingress.tablestates import (
    Provenance,
    StoredRow,
    TableState,
)
from testbed.calls import call_control
from testbed.routed import KEY, RoutedSite, start_routed_site, wait_for
from tests.ingress.callers import call
from tests.ingress.test_following import Script, follow, state

APPLY_SECONDS = 2.0
#: Age up to which an instance counts as in touch with the store.
FRESH_SECONDS = 1.5


def row(key: str, version: int, text: bytes | None = b'as ever') -> StoredRow:
    """Build a row."""
    return StoredRow(key, text, version)


def cache(*rows: StoredRow, version: int) -> TableCache:
    """Build a cache that has read these rows."""
    made = TableCache(operator.eq)
    made.update(read(TableState(version, list(rows), whole=True)))
    return made


def read(state: TableState) -> DecodedState:
    """Read of rows what they say: their text."""
    return DecodedState.from_state(state, lambda held: held.encoded)


def list_keys(told: TableState) -> list[str]:
    """List the keys of the rows that were told."""
    return [told_row.key for told_row in told.rows]


# What is told


def test_reports_that_say_nothing_new_are_not_told() -> None:
    """Each endpoint writes every second or so that it is as it was.

    Handing that on would be most of what instances send each other.
    """
    kept = cache(row('i-1', 1), row('i-2', 2), version=5)
    changed = [row('i-1', 7), row('i-2', 8, b'leaves')]
    kept.update(read(TableState(8, changed, whole=False)))
    told = kept.list_changes(5)
    assert list_keys(told) == ['i-2']
    assert told.version == 8
    assert not told.whole


def test_a_dropped_row_is_told() -> None:
    """An endpoint is gone: whoever asks later must hear of it."""
    kept = cache(row('i-1', 1), version=5)
    kept.update(read(TableState(6, [row('i-1', 6, None)], whole=False)))
    assert kept.list_changes(5).rows == [row('i-1', 6, None)]
    assert not kept.list_changes(None).rows


def test_an_unreadable_row_is_told_like_any_other() -> None:
    """Somebody spoils the entry of an endpoint; an instance asks for all.

    The row is there, only its bytes can't be read.  Left out of a whole table
    it passed for one that was dropped, which is kept for seconds after the
    store's return: the instance went on sending there, and its reader did not.
    """
    kept = cache(row('i-1', 1), version=5)
    spoilt = row('i-1', 6, b'')
    kept.update(read(TableState(6, [spoilt], whole=False)))
    assert kept.list_changes(5).rows == [spoilt]
    assert kept.list_changes(None).rows == [spoilt]


def test_one_that_is_far_behind_is_told_everything() -> None:
    """What changed before the cache was read is not known to it."""
    kept = cache(row('i-1', 1), version=5)
    told = kept.list_changes(4)
    assert told.whole
    assert list_keys(told) == ['i-1']


def test_a_row_that_comes_again_is_told() -> None:
    """An entry lapses and is back with the text that it had."""
    kept = cache(row('i-1', 1), version=5)
    kept.update(read(TableState(6, [row('i-1', 6, None)], whole=False)))
    kept.update(read(TableState(7, [row('i-1', 7)], whole=False)))
    assert kept.list_changes(6).rows == [row('i-1', 7)]


# Who is asked


class Fleet:
    """Instances of several zones that choose whom to ask, in turns."""

    def __init__(self, zones: int, mates: int) -> None:
        """Start all of them together: each has read the store by itself."""
        self.now = 1000
        self.cut_off: set[str] = set()
        self.instances: dict[str, Reader] = {}
        self.choices: dict[str, ReaderSelector] = {}
        for zone, mate in itertools.product(range(zones), range(mates)):
            self.start(f'zone-{zone}', f'edge-{zone}-{mate:02}')

    def start(self, zone: str, name: str) -> None:
        """Start an instance that has just read the store."""
        self.instances[name] = Reader(name, 'host', zone, Provenance.STORE)
        self.choices[name] = ReaderSelector(
            lambda: self.instances[name],
            lambda _now: [
                reader
                for reader in self.instances.values()
                if reader.instance != name
            ],
        )

    def play(self, rounds: int = 10) -> None:
        """Have each instance ask whom it chooses, some times over."""
        for name in list(self.instances) * rounds:
            self.now += 0.001
            self._ask(name)

    def list_by(self, provenance: Provenance) -> list[str]:
        """List the instances whose tables come from there."""
        return [
            name
            for name, reader in self.instances.items()
            if reader.provenance is provenance
        ]

    def _ask(self, name: str) -> None:
        own = self.instances[name]
        reader = self.choices[name].choose(self.now)
        if reader is None:
            reached = name not in self.cut_off
            provenance = Provenance.STORE if reached else None
        elif reader.zone == own.zone:
            provenance = Provenance.SAME_ZONE
        else:
            provenance = Provenance.OTHER_ZONE
        self.instances[name] = attrs.evolve(own, provenance=provenance)


@pytest.mark.parametrize(
    ('zones', 'mates'),
    [(1, 1), (3, 3), (3, 27), (5, 39), (8, 51)],
)
def test_one_instance_reads_the_store_for_all(zones: int, mates: int) -> None:
    """Calls to the store must not grow with instances, nor with zones."""
    fleet = Fleet(zones, mates)
    fleet.play()
    assert fleet.list_by(Provenance.STORE) == ['edge-0-00']
    assert len(fleet.list_by(Provenance.OTHER_ZONE)) == zones - 1
    assert len(fleet.list_by(Provenance.SAME_ZONE)) == zones * (mates - 1)


def test_the_loss_of_the_reader_brings_one_other_to_the_store() -> None:
    """The only reader dies: the others of its zone must not all read."""
    fleet = Fleet(5, 39)
    fleet.play()
    lost = fleet.instances.pop('edge-0-00')
    fleet.choices.pop('edge-0-00')
    for choice in fleet.choices.values():
        choice.avoid(lost, fleet.now)
    fleet.play()
    assert len(fleet.list_by(Provenance.STORE)) == 1
    assert not any(
        reader.provenance is None for reader in fleet.instances.values()
    )


def test_an_instance_that_the_store_turns_away_is_told_by_others() -> None:
    """The store refuses the first two zones and serves the third."""
    fleet = Fleet(3, 9)
    fleet.play()
    fleet.cut_off = {
        name
        for name, reader in fleet.instances.items()
        if reader.zone != 'zone-2'
    }
    for name in fleet.cut_off:
        stale = attrs.evolve(fleet.instances[name], provenance=None)
        fleet.instances[name] = stale
    fleet.play()
    assert fleet.list_by(Provenance.STORE) == ['edge-2-00']
    assert not any(
        reader.provenance is None for reader in fleet.instances.values()
    )


def test_who_tells_others_looks_for_the_store_at_once() -> None:
    """A zone that was told takes turns, or 38 instances ask together."""
    fleet = Fleet(1, 39)
    fleet.play()
    turns = [
        choice.measure_backoff(fleet.now) for choice in fleet.choices.values()
    ]
    assert not turns[0]
    assert min(turns[1:]) >= 38 * 0.25
    assert not Fleet(1, 1).choices['edge-0-00'].measure_backoff(1000)


def test_an_instance_that_failed_is_left_alone() -> None:
    """The only reader of the zone has died: nobody waits for it again."""
    fleet = Fleet(1, 2)
    fleet.play()
    choice = fleet.choices['edge-0-01']
    reader = choice.choose(fleet.now)
    choice.avoid(reader, fleet.now)
    assert choice.choose(fleet.now + 1) is None
    assert choice.choose(fleet.now + 4) == reader


# What is told to whom


def test_what_a_zone_was_told_goes_no_further() -> None:
    """Two instances that ask each other would take old tables for fresh."""
    may_tell = {
        provenance: [
            _FollowedTable(
                types.SimpleNamespace(provenance=provenance),
                cache=None,
            ).may_relay(within_zone)
            for within_zone in (True, False)
        ]
        for provenance in (*Provenance, None)
    }
    assert may_tell == {
        Provenance.STORE: [True, True],
        Provenance.OTHER_ZONE: [True, False],
        Provenance.SAME_ZONE: [False, False],
        None: [False, False],
    }


# How fresh it is


async def test_age_counts_from_before_the_question(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A teller that read the store 2 s ago makes nothing fresher than that."""
    monkeypatch.setattr(following_module, 'read_boottime', lambda: 100)
    script = Script(state(9, whole=True))
    script.told = [
        TableState(5, [], True, age=2, provenance=Provenance.SAME_ZONE),
    ]
    follower = await follow(script)
    assert script.asked == [(5, 0)]
    assert follower.confirmed_at == 100
    assert script.adopted[0].version == 5


async def test_a_teller_that_is_behind_undoes_nothing() -> None:
    """The instance asked next has read less than the one before it."""
    script = Script(state(9))
    script.told = [
        TableState(7, [row('a', 7)], whole=True),
        TableState(6, [row('a', 4)], whole=True),
    ]
    await follow(script)
    assert [told.version for told in script.adopted] == [7, 9]


@pytest.mark.parametrize(
    'received',
    [
        b'',
        b'\xc1 no message',
        msgspec.msgpack.encode([1, 0, None, True, b'not packed']),
    ],
)
def test_an_unreadable_answer_is_no_answer(received: bytes) -> None:
    """Bytes that no instance would send change nothing."""
    assert not isinstance(relaying_module._decode_reply(received), Success)


def test_a_reader_that_is_behind_is_not_relied_on() -> None:
    """The store turns just the reader away, and serves all others."""
    old = relaying_module._decode_reply(
        build_answer(TableState(1, [], whole=True, age=2.1)).body,
    )
    assert relaying_module._discard_stale(old.unwrap()) is None
    fresh = relaying_module._decode_reply(
        build_answer(TableState(1, [row('a', 1)], whole=True, age=1.9)).body,
    )
    kept = relaying_module._discard_stale(fresh.unwrap())
    assert kept.rows == [row('a', 1)]


# With processes


@pytest.fixture
def site(tmp_path_factory: pytest.TempPathFactory) -> Iterator[RoutedSite]:
    """Run a site of three instances in one zone, two told by the third."""
    with start_routed_site(tmp_path_factory.mktemp('site'), 3) as running:
        wait_for(
            lambda: all(map(_is_told, running.instances[1:])),
            'the others are told',
        )
        yield running


def _is_told(instance: object) -> bool:
    return any(
        line['event'] == 'table_told_by_peer' and line['table'] == 'op'
        for line in instance.log_lines
    )


def count_store_calls(site: RoutedSite) -> int:
    """Count the calls that the store has had."""
    calls = call_control(site.store, 'GET', '/control/calls')
    return sum(calls.values())


def test_the_store_is_read_once_for_a_zone(site: RoutedSite) -> None:
    """Calls to the store grow with zones, not with instances.

    One instance that follows both tables makes some four calls a second.
    """
    before = count_store_calls(site)
    time.sleep(3)
    assert (count_store_calls(site) - before) / 3 < 6
    ages = [instance.dump()['age'] for instance in site.instances]
    assert max(ages) < FRESH_SECONDS


@pytest.mark.parametrize('sign', [signal.SIGSTOP, signal.SIGKILL])
def test_a_change_arrives_without_the_reader(
    site: RoutedSite,
    sign: signal.Signals,
) -> None:
    """The reader is frozen, or dies, just before a key is taken away.

    The others must not go on by what it told them: within the bound of a
    change they have the new version, from the store.
    """
    reader, *others = site.instances
    reader.process.send_signal(sign)
    site.put_configuration(keys=('another',))
    began = time.monotonic()
    with contextlib.ExitStack() as waking:
        waking.callback(reader.process.send_signal, signal.SIGCONT)
        wait_for(
            lambda: all(
                call(instance, '/lookups/x').status == 401
                for instance in others
            ),
            'the key is refused',
        )
    assert time.monotonic() - began < APPLY_SECONDS


def test_a_woken_reader_tells_nothing_old(site: RoutedSite) -> None:
    """The reader stands still for seconds, and a key is given out meanwhile.

    Once it runs again the others ask it; they keep the version that they have
    from the store, and it takes over again once it knows as much.
    """
    reader, *others = site.instances
    reader.process.send_signal(signal.SIGSTOP)
    site.put_configuration(keys=(KEY, 'another'))
    wait_for(
        lambda: all(
            instance.dump()['version'] == site.version for instance in others
        ),
        'the new version',
    )
    reader.process.send_signal(signal.SIGCONT)
    limit = time.monotonic() + 4
    while time.monotonic() < limit:
        for instance in others:
            answer = call(instance, '/lookups/x', X_Api_Key='another')
            assert answer.status == 200
    assert reader.dump()['version'] == site.version
