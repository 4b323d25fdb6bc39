"""Engines of a zone that fall silent at once, without a network."""

import functools
import heapq
import random

import pytest

from kelproad.coordination.ingress.membership.messages import (
    SilenceNotice,
    add_notice_age,
)
from kelproad.coordination.ingress.placing import watching as watching_module
from kelproad.coordination.ingress.placing.watching import SilenceNotices
from kelproad.coordination.ingress.tables.readers import Reader
from kelproad.state.counters import Counters, SilenceMetrics
from kelproad.state.declarations import (
    EndpointDeclaration,
    EndpointGroup,
    EndpointKind,
)
from kelproad.state.endpoints import Endpoint
from kelproad.state.endpointtable import EndpointTable
from kelproad.state.silentgroups import SilentGroups

NOW = 1000.0
METRICS = SilenceMetrics(Counters().registry)
ENGINES = 18
ZONES = ('a', 'b', 'c')
#: Seconds until a query counts as unanswered, and the most in a row.
QUERY_SECONDS = 0.3
MOST_QUERIES = 8
#: Calls per second to each engine, and seconds of the silence.
CALL_RATE = 1.0
SILENT_SECONDS = 2.5
#: Share of the engines that may get calls until the rest is avoided, and the
#: notices from each instance to each other.
EVIDENCE_SHARE = 0.3
MOST_NOTICES = 20


def build_table(engines: int = ENGINES) -> EndpointTable:
    """Build a table with so many engines in each zone."""
    table = EndpointTable()
    declarations = [
        EndpointDeclaration(f'{zone}-{number}', zone, f'10.0.0.{number}:80')
        for zone in ZONES
        for number in range(engines)
    ]
    table.replace_groups(
        [EndpointGroup('writer', EndpointKind.ENGINE, declarations)]
    )
    return table


def tell(
    groups: SilentGroups, table: EndpointTable, *told: tuple[str, str]
) -> bool:
    """Record engines, each with the instance that found it silent."""
    size = len(table.in_zone('writer', 'a'))
    results = [
        groups.record_unanswered(table.get(engine), size, instance, NOW, NOW)
        for engine, instance in told
    ]
    return results[-1]


def test_some_silent_engines_show_that_their_group_is() -> None:
    """Guards against a zone that is learned engine by engine."""
    table, groups = build_table(), SilentGroups()
    assert not tell(groups, table, ('a-0', 'x'), ('a-1', 'y'))
    assert tell(groups, table, ('a-2', 'x'))
    assert groups.includes(table.get('a-9'), NOW)
    assert not groups.includes(table.get('b-9'), NOW)
    assert groups.list_silent(NOW) == [('writer', 'a')]


@pytest.mark.parametrize(
    ('engines', 'told'),
    [
        # One instance alone may be cut off itself.
        (ENGINES, [('a-0', 'x'), ('a-1', 'x'), ('a-2', 'x'), ('a-3', 'x')]),
        # One engine that pauses.
        (ENGINES, [('a-0', 'x'), ('a-0', 'y'), ('a-0', 'z')]),
        # Some of very many.
        (60, [('a-0', 'x'), ('a-1', 'y'), ('a-2', 'z'), ('a-3', 'z')]),
    ],
)
def test_less_shows_nothing_of_the_others(
    engines: int, told: list[tuple[str, str]]
) -> None:
    """Guards against sound engines that get no calls."""
    table, groups = build_table(engines), SilentGroups()
    assert not tell(groups, table, *told)
    assert not groups.includes(table.get('a-9'), NOW)


def test_an_answer_ends_the_silence_of_a_group() -> None:
    """Guards against a zone that stays empty after it is back."""
    table, groups = build_table(), SilentGroups()
    told = [('a-0', 'x'), ('a-1', 'y'), ('a-2', 'z')]
    tell(groups, table, *told)
    assert groups.record_answer(table.get('a-7'), NOW + 0.1, NOW + 0.1)
    assert not groups.includes(table.get('a-0'), NOW + 0.1)
    assert not tell(groups, table, *told)
    assert not groups.record_answer(table.get('a-7'), NOW + 0.2, NOW + 0.2)


def test_old_evidence_lapses() -> None:
    """Guards against a zone that is avoided though nobody finds it silent."""
    table, groups = build_table(), SilentGroups()
    tell(groups, table, ('a-0', 'x'), ('a-1', 'y'), ('a-2', 'z'))
    assert not groups.includes(table.get('a-0'), NOW + 1.01)
    engine = table.get('a-3')
    late = NOW + 1.01
    assert not groups.record_unanswered(engine, ENGINES, 'x', late, late)


def test_a_notice_that_has_waited_is_older() -> None:
    """Guards against evidence that a standstill has made out of date."""
    notice = SilenceNotice(0, 'h', 'a', {'a-0': 0.3}, {'a-1': 0.1})
    add_notice_age(notice, 2)
    assert notice.silent == {'a-0': 2.3}
    assert notice.answering == {'a-1': 2.1}


class Zone:
    """The instances of one zone, before another one that is silent.

    Attributes
    ----------
    now
        The time of all instances, in seconds.
    calls_at
        Times of the calls to silent engines.
    notices_sent
        Number of notices from one instance to another.
    """

    def __init__(self, instances: int, engines: int, seed: int) -> None:
        """Let all instances know the same engines."""
        self.now = NOW
        self.calls_at: list[float] = []
        self.notices_sent = 0
        self.hosts = [f'10.1.0.{number}' for number in range(instances)]
        self._generator = random.Random(seed)
        self._table = build_table(engines)
        self._groups = {host: SilentGroups() for host in self.hosts}
        self._notices = {host: self._build(host) for host in self.hosts}
        self._events: list[tuple[float, str, str, int]] = []

    def send(self, host: str, notice: SilenceNotice) -> None:
        """Deliver a notice at once."""
        self.notices_sent += 1
        self._notices[host].accept(notice)

    def announce(
        self, host: str, engine: str, asked_for: float = QUERY_SECONDS
    ) -> None:
        """Let an instance find an engine silent."""
        endpoint = self._table.get(engine)
        self._notices[host].announce(endpoint, self.now - asked_for)

    def hear_answer(self, host: str, engine: str, at: float) -> None:
        """Let an engine answer an instance."""
        endpoint = self._table.get(engine)
        self._groups[host].record_answer(endpoint, at, at)

    def avoids(self, host: str, engine: str) -> bool:
        """Return whether an instance sends no calls to an engine."""
        return self._groups[host].includes(self._table.get(engine), self.now)

    def play(self, seconds: float) -> None:
        """Send calls, and query the engines that do not answer."""
        engines = self._table.in_zone('writer', 'a')
        interval = 1 / (CALL_RATE * len(engines))
        for number in range(int(seconds / interval)):
            self._plan(NOW + number * interval, engines)
        while self._events:
            at, host, engine, queries = heapq.heappop(self._events)
            self.now = at
            if queries:
                self.announce(host, engine)
            elif self.avoids(host, engine):
                continue
            else:
                self.calls_at.append(self.now)
            if queries < MOST_QUERIES:
                again = (at + QUERY_SECONDS, host, engine, queries + 1)
                heapq.heappush(self._events, again)

    def _plan(self, at: float, engines: list[Endpoint]) -> None:
        engine = self._generator.choice(engines).name
        host = self._generator.choice(self.hosts)
        heapq.heappush(self._events, (at, host, engine, 0))

    def _build(self, host: str) -> SilenceNotices:
        queries = _Queries(self, host)
        return SilenceNotices(
            self._table,
            self._groups[host],
            queries,
            queries,
            'a',
            self.hosts.__contains__,
            METRICS,
        )


def test_engines_that_answer_one_instance_are_not_silent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a zone that is avoided as some of its engines crash."""
    zone = Zone(6, ENGINES, seed=1)
    monkeypatch.setattr(watching_module, 'monotonic', lambda: zone.now)
    zone.hear_answer(zone.hosts[5], 'a-9', NOW + 0.1)
    for number in range(4):
        zone.now = NOW + QUERY_SECONDS
        zone.announce(zone.hosts[number], f'a-{number}')
    assert not any(zone.avoids(host, 'a-4') for host in zone.hosts)
    # What it answered before the queries shows nothing.
    for number in range(4):
        zone.now = NOW + 3 * QUERY_SECONDS
        zone.announce(zone.hosts[number], f'a-{number}')
    assert all(zone.avoids(host, 'a-4') for host in zone.hosts)


def test_an_engine_that_refuses_shows_nothing_of_its_neighbours(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a zone that is avoided as some of its engines are down."""
    zone = Zone(6, ENGINES, seed=1)
    monkeypatch.setattr(watching_module, 'monotonic', lambda: zone.now)
    for number in range(6):
        zone.announce(zone.hosts[number], f'a-{number}', asked_for=0.01)
    assert not any(zone.avoids(host, 'a-9') for host in zone.hosts)


def test_a_stranger_is_not_believed(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a zone that anybody on the network can empty."""
    zone = Zone(6, ENGINES, seed=1)
    monkeypatch.setattr(watching_module, 'monotonic', lambda: zone.now)
    for host in ('10.9.0.1', '10.9.0.2'):
        told = {f'a-{number}': QUERY_SECONDS for number in range(ENGINES)}
        zone.send(zone.hosts[0], SilenceNotice(0, host, 'a', told))
    assert not zone.avoids(zone.hosts[0], 'a-4')


class _Queries:
    """Knows the other instances of a zone, and sends them notices."""

    def __init__(self, zone: Zone, host: str) -> None:
        self._zone = zone
        self._host = host
        self._others = [
            Reader(other, other, 'a', None)
            for other in zone.hosts
            if other != host
        ]

    def list_zone_peers(self, _now: float) -> list[Reader]:
        """List the others."""
        return self._others

    def announce(self, kind: functools.partial, host: str) -> None:
        """Send a notice."""
        self._zone.send(host, kind(0, self._host, 'a'))


@pytest.mark.parametrize(
    ('instances', 'engines'), [(3, 4), (28, 18), (37, 20), (137, 82)]
)
def test_no_call_goes_to_a_silent_zone_for_long(
    monkeypatch: pytest.MonkeyPatch, instances: int, engines: int
) -> None:
    """Guards against each instance that learns for itself, at any size."""
    zone = Zone(instances, engines, seed=instances)
    monkeypatch.setattr(watching_module, 'monotonic', lambda: zone.now)
    zone.play(SILENT_SECONDS)
    enough = max(5, round(engines * EVIDENCE_SHARE))
    known_at = zone.calls_at[:enough][-1] + QUERY_SECONDS
    assert zone.calls_at[-1] <= known_at
    sent_by_each = zone.notices_sent / len(zone.hosts)
    assert sent_by_each < MOST_NOTICES * len(zone.hosts)
