"""Endpoints that leave or pause: what is read, kept and decided."""

import asyncio
import random
import time
import types
from collections.abc import Callable
from email.utils import formatdate

import pytest
from multidict import CIMultiDict, CIMultiDictProxy

from kelproad.coordination.ingress.membership.messages import (
    LeavingNotice,
    ReportedLeaving,
    encode_message,
)
from kelproad.coordination.ingress.membership.queries import PeerQueries
from kelproad.coordination.ingress.placing.placement import (
    NoPlacementError,
    Placement,
)
from kelproad.coordination.ingress.streams.observing import AnswerObserver
from kelproad.coordination.ingress.streams.progress import Attempt
from kelproad.coordination.ingress.streams.sending import Sender
from kelproad.coordination.ingress.withdrawing.notices import LeavingNotices
from kelproad.coordination.ingress.withdrawing.observing import (
    WithdrawalObserver,
)
from kelproad.platform.statements import read_statements
from kelproad.state.calls import AnswerHead, Outcome
from kelproad.state.counters import Counters, WithdrawalMetrics
from kelproad.state.declarations import (
    EndpointDeclaration,
    EndpointGroup,
    EndpointKind,
)
from kelproad.state.endpointtable import EndpointTable
from kelproad.state.refusals import Ran
from kelproad.state.routes import CallKind
from kelproad.state.statements import EndpointStatements
from kelproad.transport.deadlines import monotonic
from tests.ingress.limits import build_observer
from tests.ingress.test_attempts import build_call
from tests.ingress.test_limited_placement import ENGINES, Site

LEAVES = EndpointStatements(leaves=True)
ADDRESS = '10.0.0.1:80'


def read(status: int, *fields: tuple[str, str]) -> EndpointStatements:
    """Decode the statements of an answer with these header fields."""
    return read_statements(status, CIMultiDictProxy(CIMultiDict(fields)))


def build_table(incarnation: str = '1', name: str = 'i-1') -> EndpointTable:
    """Build a table with one endpoint."""
    table = EndpointTable()
    list_endpoint(table, incarnation, name)
    return table


def list_endpoint(
    table: EndpointTable,
    incarnation: str,
    name: str = 'i-1',
    leaving: bool = False,
) -> None:
    """Build the table anew with one endpoint."""
    declaration = EndpointDeclaration(
        name, 'a', ADDRESS, leaving=leaving, incarnation=incarnation
    )
    group = EndpointGroup('book', EndpointKind.PLAIN, [declaration])
    table.replace_groups([group])


def build_withdrawal_observer(table: EndpointTable) -> WithdrawalObserver:
    """Build the observer of an instance without peers."""
    metrics = WithdrawalMetrics(Counters().registry)
    return WithdrawalObserver(table, metrics, lambda *_endpoint: None)


@pytest.mark.parametrize('status', [200, 421, 429, 500, 503, 504])
def test_any_answer_may_state_that_its_endpoint_leaves(status: int) -> None:
    """Only the row in the store was read."""
    assert read(status, ('Server-Leaving', '1')).leaves


@pytest.mark.parametrize(
    ('stated', 'leaves', 'readable'),
    [
        (['1'], True, True),
        ([' 1 '], True, True),
        (['0'], False, True),
        (['0', '1'], True, True),
        (['1, 1'], True, True),
        ([''], False, False),
        (['yes'], False, False),
        (['11'], False, False),
        (['x' * 9000], False, False),
    ],
)
def test_only_a_readable_statement_counts(
    stated: list[str], leaves: bool, readable: bool
) -> None:
    """Junk would take an endpoint out for good."""
    statements = read(200, *(('Server-Leaving', text) for text in stated))
    assert statements.leaves is leaves
    assert bool(statements.unreadable) is not readable


@pytest.mark.parametrize(
    ('status', 'stated', 'seconds'),
    [
        (503, ['3'], 3),
        (503, ['0.25'], 0.25),
        (429, ['2'], 2),
        (503, ['2', '5', '1'], 5),
        (503, ['0'], 0),
        (503, ['-4'], 0),
        (503, ['soon'], 0),
        (503, [''], 0),
        (503, ['9' * 15], 3600),
        (503, ['9' * 400], 0),
        (503, ['Wed, 21 Oct 2015 07:28:00 GMT'], 0),
        (200, ['3'], 0),
        (500, ['3'], 0),
    ],
)
def test_a_pause_is_read(
    status: int, stated: list[str], seconds: float
) -> None:
    """Nothing read it, and the endpoint got more calls meanwhile."""
    statements = read(status, *(('Retry-After', text) for text in stated))
    assert statements.pause == seconds


def test_a_pause_may_end_at_a_date() -> None:
    """A date is as good as a number of seconds."""
    date = formatdate(time.time() + 30, usegmt=True)
    assert 28 < read(503, ('Retry-After', date)).pause <= 30


def test_a_statement_outlasts_all_but_its_incarnation() -> None:
    """A table built anew from old rows took it back."""
    table = build_table()
    observer = build_withdrawal_observer(table)
    observer.observe('i-1', '1', LEAVES)
    observer.observe('i-1', '1', EndpointStatements())
    list_endpoint(table, '1')
    assert table.get('i-1').leaving
    table.replace_groups([])
    table.forget_withdrawals(monotonic())
    list_endpoint(table, '1')
    assert table.get('i-1').leaving
    list_endpoint(table, '2')
    assert not table.get('i-1').leaving
    list_endpoint(table, '1', 'i-2')
    assert not table.get('i-2').leaving


def test_an_answer_speaks_for_the_incarnation_that_it_was_sent_to() -> None:
    """A late answer of the former one took its successor out."""
    table = build_table('1')
    former = table.get('i-1')
    list_endpoint(table, '2')
    answers = AnswerObserver(
        table, build_observer(table), build_withdrawal_observer(table)
    )
    head = AnswerHead(Outcome.NOT_RUN, 503, (), statements=LEAVES)
    answers.observe_answer(former, head)
    assert not table.get('i-1').leaving
    answers.observe_answer(table.get('i-1'), head)
    assert table.get('i-1').leaving


def test_another_endpoint_at_the_address_speaks_for_itself() -> None:
    """A sound endpoint would get no more calls."""
    table = build_table()
    answers = AnswerObserver(
        table, build_observer(table), build_withdrawal_observer(table)
    )
    head = AnswerHead(Outcome.MISDIRECTED, 421, (), statements=LEAVES)
    answers.observe_answer(table.get('i-1'), head)
    assert not table.get('i-1').leaving


def test_a_reply_to_a_report_or_order_counts() -> None:
    """An engine that only helps states it nowhere else."""
    table = build_table()
    answers = AnswerObserver(
        table, build_observer(table), build_withdrawal_observer(table)
    )
    answers.observe_reply('10.0.0.9:80', LEAVES)
    assert not table.get('i-1').leaving
    answers.observe_reply(ADDRESS, EndpointStatements(request_limit=2))
    answers.observe_reply(ADDRESS, LEAVES)
    assert table.get('i-1').leaving
    assert answers._limits.limits.find('i-1', '1').rate == 2


def test_memory_of_endpoints_that_are_gone_is_bounded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Each release of a service would leave something behind."""
    table = build_table()
    build_withdrawal_observer(table).observe('i-1', '1', LEAVES)
    now = monotonic()
    table.replace_groups([])
    table.forget_withdrawals(now + 30)
    assert table.withdrawals.all()
    table.forget_withdrawals(now + 100)
    assert not table.withdrawals.all()


# Notices of peers


class Peer:
    """The notices of an instance, whose datagrams a test delivers."""

    def __init__(self, host: str, instances: set[str]) -> None:
        """Believe the instances."""
        self.table = build_table()
        self.sent: list[LeavingNotice] = []
        self.lookups = 0

        async def is_instance(named: str) -> bool:
            self.lookups += 1
            await asyncio.sleep(0)
            return named in instances

        def announce(kind: Callable[..., LeavingNotice], to: str) -> None:
            self.sent.append(kind(0, host, 'a'))

        self.notices = LeavingNotices(
            self.table,
            types.SimpleNamespace(announce=announce),
            types.SimpleNamespace(list_hosts=lambda: ['10.0.0.8']),
            is_instance,
            random.Random(1),
        )
        self.observer = WithdrawalObserver(
            self.table,
            WithdrawalMetrics(Counters().registry),
            self.notices.announce,
        )

    async def hear(self, notice: LeavingNotice) -> None:
        """Take a notice of another instance."""
        self.notices.accept(notice)
        await asyncio.gather(*self.notices._waiting)


async def test_the_first_that_is_told_tells_the_others() -> None:
    """Each instance went on until it was told itself."""
    first, second = Peer('10.0.0.1', set()), Peer('10.0.0.2', {'10.0.0.1'})
    first.observer.observe('i-1', '1', LEAVES)
    first.observer.observe('i-1', '1', LEAVES)
    assert len(first.sent) == 1
    await second.hear(first.sent[0])
    assert second.table.get('i-1').leaving
    second.observer.observe('i-1', '1', LEAVES)
    assert not second.sent
    second.notices.greet('10.0.0.3')
    assert second.sent[0].leaving[0].endpoint == 'i-1'


async def test_an_instance_that_starts_learns_which_rows_were_leaving() -> None:
    """It read a copy of the store in which the endpoint had not left yet."""
    first, second = Peer('10.0.0.1', set()), Peer('10.0.0.2', {'10.0.0.1'})
    list_endpoint(first.table, '1', leaving=True)
    first.notices.greet('10.0.0.2')
    assert len(first.sent) == 1
    await second.hear(first.sent[0])
    endpoint = second.table.get('i-1')
    assert endpoint.leaving
    # It has been told for how long by nobody: nothing may be its last resort.
    assert not endpoint.withdrawal.is_last_resort(monotonic())
    list_endpoint(second.table, '2')
    assert not second.table.get('i-1').leaving


async def test_what_was_only_heard_is_not_passed_on() -> None:
    """Two instances could keep a false notice alive for ever."""
    second = Peer('10.0.0.2', {'10.0.0.1'})
    await second.hear(build_notice('10.0.0.1'))
    second.notices.greet('10.0.0.3')
    assert not second.sent


async def test_a_stranger_takes_no_endpoint_out() -> None:
    """Anybody could take all endpoints out with a datagram."""
    here = Peer('10.0.0.2', {'10.0.0.1'})
    await here.hear(build_notice('10.0.0.9'))
    assert not here.table.get('i-1').leaving
    encoded = encode_message(build_notice('10.0.0.1'))
    queries = PeerQueries(
        None,
        lambda query: pytest.fail(f'taken: {query}'),
        lambda _host: True,
    )
    queries.receive(encoded, '10.0.0.9')
    queries.receive_outdated(encoded, '10.0.0.9', 2)


async def test_a_flood_of_notices_is_bounded() -> None:
    """Each would wait for the store."""
    here = Peer('10.0.0.2', {'10.0.0.1'})
    for _ in range(1000):
        here.notices.accept(build_notice('10.0.0.9'))
    assert len(here.notices._waiting) < 100
    await asyncio.gather(*here.notices._waiting)


async def test_a_notice_holds_for_its_incarnation_and_for_a_time() -> None:
    """A false one would take an endpoint out for good."""
    here = Peer('10.0.0.2', {'10.0.0.1'})
    await here.hear(build_notice('10.0.0.1', incarnation='0'))
    assert not here.table.get('i-1').leaving
    await here.hear(build_notice('10.0.0.1'))
    here.table.forget_withdrawals(monotonic() + 30)
    assert here.table.get('i-1').leaving
    here.table.forget_withdrawals(monotonic() + 100)
    assert not here.table.get('i-1').leaving


def build_notice(host: str, incarnation: str = '1') -> LeavingNotice:
    """Build the notice of an instance that an endpoint leaves."""
    return LeavingNotice(0, host, 'a', [ReportedLeaving('i-1', incarnation, 0)])


# Placement


def withdraw(site: Site, name: str, ago: float = 0) -> None:
    """Let an engine state that it leaves, some seconds ago."""
    withdrawal = site.table.keep_withdrawal(name, '', monotonic())
    withdrawal.state_leaving(monotonic() - ago)


async def test_an_engine_that_leaves_is_used_where_no_other_can_be() -> None:
    """Calls were refused while it would have served them."""
    site = Site()
    withdraw(site, 'i-1')
    chosen = {(await site.place()).primary.name for _ in range(20)}
    assert chosen == {'i-2', 'i-3'}
    withdraw(site, 'i-2')
    withdraw(site, 'i-3')
    placement = await site.place(kind=CallKind.STREAM)
    assert placement.uses_leaving
    assert site.chooser.is_usable(placement)


async def test_an_engine_that_leaves_is_better_than_one_that_fails() -> None:
    """A call that may run once would be lost with one that fails."""
    site = Site()
    withdraw(site, 'i-1')
    for failing in ENGINES[1:]:
        site.table.get(failing).ejected_until = monotonic() + 5
    assert (await site.place(kind=CallKind.STREAM)).primary.name == 'i-1'


async def test_all_that_left_long_ago_are_refused_at_once() -> None:
    """A call waited for engines of which none may get it."""
    site = Site()
    for name in ENGINES:
        withdraw(site, name, ago=1)
    returns = set()
    for _ in range(9):
        with pytest.raises(NoPlacementError) as raised:
            await site.place()
        assert not raised.value.worth_waiting
        returns.add(raised.value.retry_after)
    assert len(returns) == 9


async def test_what_was_chosen_before_a_statement_is_looked_at_again() -> None:
    """A call that waited for a start, memory or a trial went there."""
    site = Site()
    placement = await site.place()
    withdraw(site, placement.primary.name)
    assert site.chooser.find_unusable(placement) is placement.primary
    long = await site.place(150_000)
    withdraw(site, long.helpers[0].name)
    assert site.chooser.find_unusable(long) is long.helpers[0]


def test_a_tunnel_is_opened_to_no_endpoint_that_leaves() -> None:
    """Calls of other instances reached it from here."""
    table = build_table()
    assert table.serves_at(ADDRESS, monotonic())
    build_withdrawal_observer(table).observe('i-1', '1', LEAVES)
    assert not table.serves_at(ADDRESS, monotonic())
    list_endpoint(table, '2')
    table.keep_withdrawal('i-1', '2', 0).pause(monotonic() + 9)
    assert not table.serves_at(ADDRESS, monotonic())


# Pauses


def pause(site: Site, name: str, seconds: float) -> None:
    """Let an engine want nothing for some seconds."""
    withdrawal = site.table.keep_withdrawal(name, '', monotonic())
    withdrawal.pause(monotonic() + seconds)


def test_a_pause_ends_with_its_time_or_incarnation() -> None:
    """A later, shorter one took it back, or its successor had it, too."""
    table = build_table()
    observer = build_withdrawal_observer(table)
    observer.observe('i-1', '1', EndpointStatements(pause=5))
    observer.observe('i-1', '1', EndpointStatements(pause=1))
    observer.observe('i-1', '1', EndpointStatements())
    now = monotonic()
    withdrawal = table.get('i-1').withdrawal
    assert withdrawal.is_paused(now + 4)
    assert not withdrawal.is_paused(now + 6)
    assert not table.get('i-1').leaving
    list_endpoint(table, '2')
    assert not table.get('i-1').withdrawal.is_paused(now)


async def test_others_get_what_a_pausing_engine_would() -> None:
    """It got calls that it had asked to be spared."""
    site = Site()
    pause(site, 'i-1', 30)
    for tokens in (500, 150_000):
        for _ in range(20):
            placement = await site.place(tokens)
            assert 'i-1' not in {one.name for one in placement.endpoints}


async def test_a_call_waits_for_the_end_of_a_pause_if_there_is_time() -> None:
    """It was refused a moment before it could have been served."""
    site = Site()
    for name, seconds in zip(ENGINES, (30, 0.2, 30), strict=True):
        pause(site, name, seconds)
    with pytest.raises(NoPlacementError) as raised:
        await site.place()
    assert raised.value.worth_waiting
    await asyncio.sleep(0.2)
    assert (await site.place()).primary.name == 'i-2'


@pytest.mark.parametrize('tokens', [500, 240_000])
async def test_a_call_that_cannot_wait_for_a_pause_is_told_when(
    tokens: int,
) -> None:
    """It was held for half of its objective, and all were told 0.5 s."""
    site = Site()
    for name in ENGINES if tokens == 500 else ENGINES[1:]:
        pause(site, name, 30)
    returns = set()
    for _ in range(9):
        with pytest.raises(NoPlacementError) as raised:
            await site.place(tokens)
        assert not raised.value.worth_waiting
        returns.add(raised.value.retry_after)
    assert len(returns) == 9
    assert min(returns) > 20


async def test_a_limit_that_ends_before_a_pause_counts() -> None:
    """A call was told the time of the pause though a limit permits it soon."""
    site = Site()
    pause(site, 'i-1', 30)
    site.waits = {'i-2': 4, 'i-3': 4}
    with pytest.raises(NoPlacementError) as raised:
        await site.place()
    assert raised.value.retry_after < 10


async def test_a_refusal_names_few_of_many_pausing_engines() -> None:
    """Each refused call logged a line of thousands of names."""
    site = Site()
    names = [f'e-{number}' for number in range(1000)]
    declarations = [
        EndpointDeclaration(name, 'a', ADDRESS, slots=8) for name in names
    ]
    group = EndpointGroup('book', EndpointKind.ENGINE, declarations)
    site.table.replace_groups([group])
    for number, name in enumerate(names):
        pause(site, name, 1000 - number)
    with pytest.raises(NoPlacementError) as raised:
        await site.place()
    assert set(raised.value.waits) == set(names[-8:])


async def test_an_endpoint_is_looked_at_again_right_before_sending() -> None:
    """A call went there after it had waited for memory elsewhere."""
    endpoint = build_table().get('i-1')
    sender = Sender(None, None, None, None, lambda placed: placed.primary, None)
    attempt = Attempt(build_call(), Placement(endpoint))
    sent = await sender.send(attempt, None, CIMultiDict(), None)
    failure = sent.failure()
    assert (failure.ran, failure.arrived) == (Ran.NO, False)
    assert (failure.blameless, failure.exclude) == (True, 'i-1')
