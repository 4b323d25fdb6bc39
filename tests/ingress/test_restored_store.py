"""Tables of a store that returns from a copy, without processes."""

import asyncio
import math

import attrs
import msgspec
import pytest
from returns.result import Result, Success

from kelproad.coordination.ingress.quarantine.rows import QuarantineRows
from kelproad.coordination.ingress.tables import confirming as confirming_module
from kelproad.coordination.ingress.tables.confirming import Confirmation
from kelproad.coordination.ingress.tables.following import TableFollower
from kelproad.coordination.ingress.tables.merging import RowMerger
from kelproad.coordination.ingress.tables.positions import StoreEras
from kelproad.coordination.ingress.tables.roworders import ENDPOINT_ORDER
from kelproad.coordination.ingress.tables.tablestates import (
    DecodedState,
    Provenance,
    Revision,
    StoredRow,
    StoreProblemKind,
    TableState,
)
from kelproad.platform.rows import decode_endpoint
from kelproad.state.quarantine import PartQuarantine
from kelproad.state.suspicions import EndedCall
from kelproad.transport.deadlines import RunningClock
from tests.ingress.test_following import (
    Script,
    create_follower,
    fail,
    follow,
    state,
)

COPY = Revision(2, 5)


async def test_changes_of_a_new_era_are_not_adopted_as_all() -> None:
    """Guards against a call that waits across the return of the store."""
    script = Script(
        state(9, 'a', whole=True, era=1),
        state(9, 'b', era=2),
        state(7, 'c', whole=True, era=2),
        state(8, 'd', era=2),
    )
    await follow(script)
    assert [version for version, _ in script.asked] == [None, 9, None, 7]
    assert [adopted.revision for adopted in script.adopted] == [
        Revision(1, 9),
        Revision(2, 7),
        Revision(2, 8),
    ]


async def test_an_era_noticed_elsewhere_needs_the_whole_table() -> None:
    """Guards against a table that goes on in the era before."""
    script = Script(
        state(9, whole=True, era=1),
        fail(StoreProblemKind.REFUSED),
        state(6, whole=True, era=2),
    )
    script.on_failure = lambda: script.eras.observe(2, 'another table')
    await follow(script)
    assert [version for version, _ in script.asked] == [None, 9, None]


async def test_a_late_answer_of_the_era_before_confirms_nothing() -> None:
    """Guards against old rows that are taken for new as their version is."""
    script = Script(
        state(5, whole=True, era=2),
        state(99, 'late', era=1),
        state(99, 'late', whole=True, era=1),
    )
    follower = await follow(script)
    confirmed_at = follower.confirmed_at
    assert [adopted.revision for adopted in script.adopted] == [COPY]
    assert follower.describe()['outdated_answers'] == 2
    assert follower.confirmed_at == confirmed_at


async def test_a_return_within_one_answer_counts_as_recovery() -> None:
    """Guards against dropping endpoints that joined since the copy."""
    script = Script(state(9, whole=True, era=1), state(7, whole=True, era=2))
    script.eras.observe(1, 'start')
    follower = await follow(script)
    assert follower.measure_since_recovery() < 1


async def test_a_reader_that_started_since_does_not_hide_a_return() -> None:
    """Guards against confirming at once what a new instance read."""
    script = Script(
        state(9, whole=True, era=1), state(9, era=2), state(8, era=2)
    )
    told = attrs.evolve(
        state(7, whole=True, era=2).unwrap(), provenance=Provenance.SAME_ZONE
    )
    script.told = [None, None, told]
    follower = create_follower(script)
    script.follower = follower
    restored = []
    follower.on_restored = restored.append
    await TableFollower._follow.fun(follower)
    assert len(restored) == 1
    assert follower.measure_since_recovery() < 1


async def test_lower_versions_are_believed_in_the_end() -> None:
    """Guards against a store without eras that silently goes back."""
    script = Script(
        state(9, whole=True),
        *(state(3) for _ in range(9)),
        state(3, 'a', whole=True),
    )
    follower = await follow(script)
    assert script.asked[-1][0] is None
    assert follower.describe()['revision'] == {'era': 0, 'version': 3}


def test_eras_only_rise() -> None:
    """Guards against an era that a late or odd answer sets back."""
    eras = StoreEras()
    restored = []
    eras.on_restored.append(lambda: restored.append(eras.current))
    assert [
        eras.observe(stated, 'answer') for stated in (None, 4, None, 5, 4, 7)
    ] == [0, 4, 4, 5, 4, 7]
    assert restored == [5, 7]


# Rows that are older than what is known


def write(name: str, revision: Revision, **fields: object) -> StoredRow:
    """Build the row of an endpoint."""
    entry = {
        'service': 'book',
        'address': '10.0.0.1:80',
        'zone': 'a',
        'state': 'ready',
        'sequence': 1,
        'born': 5,
        **fields,
    }
    return StoredRow(name, msgspec.json.encode(entry), revision)


def decode(revision: Revision, *rows: StoredRow, whole: bool) -> DecodedState:
    """Decode a state of the table of endpoints."""
    return DecodedState.from_state(
        TableState(revision, list(rows), whole), decode_endpoint
    )


def read_states(merged: DecodedState) -> dict[str, bool]:
    """Return which endpoints are present, and whether each leaves."""
    return {
        decoded.row.key: decoded.payload.unwrap().leaving
        for decoded in merged.rows
    }


@pytest.fixture
def merger() -> RowMerger:
    """Create a merger that knows of an endpoint of each fate."""
    made = RowMerger('servers', ENDPOINT_ORDER)
    before = Revision(1, 9)
    rows = [write(name, before, sequence=7) for name in ('stays', 'went')]
    rows.append(write('leaves', before, state='draining', sequence=7))
    made.merge(decode(before, *rows, whole=True))
    gone = StoredRow('went', None, Revision(1, 10))
    made.merge(decode(Revision(1, 10), gone, whole=False))
    return made


def test_a_copy_undoes_nothing_that_endpoints_said(merger: RowMerger) -> None:
    """Guards against calls to endpoints that leave or have left."""
    copied = [
        write(name, COPY, sequence=sequence)
        for name, sequence in (('stays', 6), ('went', 7), ('leaves', 6))
    ]
    merged = merger.merge(decode(COPY, *copied, whole=True))
    assert read_states(merged) == {'stays': False, 'leaves': True}
    assert {decoded.row.revision for decoded in merged.rows} == {COPY}


def test_an_endpoint_that_reports_again_is_believed(merger: RowMerger) -> None:
    """Guards against endpoints that stay out after the store's return."""
    merger.merge(decode(COPY, write('went', COPY, sequence=7), whole=True))
    later = Revision(2, 6)
    report = write('went', later, sequence=8)
    merged = merger.merge(decode(later, report, whole=False))
    assert read_states(merged) == {'went': False}


def test_a_deleted_endpoint_may_start_with_an_earlier_clock(
    merger: RowMerger,
) -> None:
    """Guards against endpoints that stay out as their clock was set back."""
    later = Revision(1, 11)
    report = write('went', later, born=3)
    merged = merger.merge(decode(later, report, whole=False))
    assert read_states(merged) == {'went': False}


def test_of_several_changes_of_a_row_only_older_ones_are_dropped(
    merger: RowMerger,
) -> None:
    """Guards against news that is lost beside a delayed write."""
    later = Revision(1, 11)
    rows = [write('stays', later, sequence=number) for number in (6, 9, 8)]
    rows.append(write('stays', later, state='draining', sequence=10))
    merged = merger.merge(decode(later, *rows, whole=False))
    sequences = [row.payload.unwrap().sequence for row in merged.rows]
    assert sequences == [9, 10]


# What confirms keys


def test_a_copy_confirms_nothing_until_written_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a key that was revoked in the seconds that are lost."""
    now = 100.0
    monkeypatch.setattr(confirming_module, 'monotonic', lambda: now)
    monkeypatch.setattr(confirming_module, 'read_boottime', lambda: now)
    confirmed_at = 97.0
    confirmation = Confirmation(lambda: now - confirmed_at, 1.0, 5.0)
    confirmation.mark_compared()
    confirmation.suspend(recovered_at=now)
    now, confirmed_at = 100.5, 100.5
    assert confirmation.measure_age() == pytest.approx(3.5)
    confirmation.suspend(recovered_at=now)
    now, confirmed_at = 101.2, 101.2
    assert confirmation.measure_age() == pytest.approx(4.2)
    now, confirmed_at = 102.0, 102.0
    assert not confirmation.measure_age()
    assert not confirmation.is_complete
    confirmation.resume()
    assert confirmation.is_complete


def test_a_standstill_is_no_time_for_others_to_object() -> None:
    """Guards against a key that a copy of the store has, and others know not.

    An instance that has just started waits for what others have in force.
    """
    now = 100.0
    clock = RunningClock(read_time=lambda: now)
    clock._read_at = now
    confirmation = Confirmation(float, 1.0, 5.0)
    confirmation.read_clock = clock.read
    confirmation.begin(direct=True)
    now = 103.0
    assert math.isinf(confirmation.measure_age())
    for _ in range(11):
        now += 0.1
        clock.read()
    assert not confirmation.measure_age()


@pytest.mark.parametrize('direct', [True, False])
def test_a_first_configuration_may_be_that_of_a_copy(
    direct: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against final refusals of keys that a copy lacks.

    An instance that has just started can't know of the return, nor can another
    one that it has the configuration from.
    """
    now = 100.0
    monkeypatch.setattr(confirming_module, 'monotonic', lambda: now)
    confirmation = Confirmation(float, 1.0, 5.0)
    confirmation.begin(direct)
    confirmation.mark_compared()
    assert not confirmation.measure_age()
    now = 104.9
    confirmation.begin(direct)
    assert not confirmation.is_complete
    now = 105.0
    assert confirmation.is_complete


def test_what_is_written_after_the_start_is_complete(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against refusals that invite callers back for longer than needed.

    Operators write all of a configuration, and no copy has what comes later.
    """
    monkeypatch.setattr(confirming_module, 'monotonic', lambda: 100.0)
    confirmation = Confirmation(float, 1.0, 5.0)
    confirmation.begin(direct=True)
    confirmation.resume()
    confirmation.begin(direct=True)
    assert confirmation.is_complete


# Our own rows


async def test_quarantined_parts_are_written_again() -> None:
    """Guards against engines that crash anew once all instances restart."""
    parts = PartQuarantine(lambda _service: 24)
    for number in range(3):
        ended = EndedCall(
            'writer',
            f'engine-{number}',
            frozenset(('poison', f'seen-{number}')),
            frozenset(('crews',)),
            number + 0.5,
            number + 1,
            confirmed=True,
        )
        parts.record_end(ended, number + 1)
    written: list[bytes] = []

    async def write(_key: str, encoded: bytes) -> Result:  # noqa: WPS430
        written.append(encoded)
        return Success(None)

    QuarantineRows(parts, write).keep_all()
    await asyncio.sleep(0)
    assert [msgspec.json.decode(row)['part'] for row in written] == ['poison']
