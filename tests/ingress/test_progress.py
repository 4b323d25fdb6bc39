"""Where a call may go after attempts that failed."""

from kelproad.coordination.ingress.streams.answers import AttemptFailure
from kelproad.coordination.ingress.streams.progress import Progress
from kelproad.state.refusals import Ran

REFUSED = AttemptFailure('not run: status 503', Ran.NO)


def test_a_helper_that_refuses_costs_no_endpoint() -> None:
    """Two helpers with unreported drains used up both attempts of a call."""
    progress = Progress()
    progress.note(REFUSED, 'first', 'draining')
    progress.note(REFUSED, 'second', 'draining-too')
    assert progress.tried == {'draining', 'draining-too'}
    assert not progress.is_exhausted(max_endpoints=2)
    assert progress.may_answer('first', max_endpoints=2)
    assert not progress.may_answer('third', max_endpoints=2)


def test_endpoints_that_refuse_use_up_the_permitted_ones() -> None:
    """A call is sent to no more endpoints than its route permits."""
    progress = Progress()
    progress.note(REFUSED, 'first', 'first')
    assert progress.may_answer('second', max_endpoints=2)
    progress.note(REFUSED, 'second', 'second')
    assert progress.is_exhausted(max_endpoints=2)


def test_missing_memory_excludes_the_engine_that_lacks_it() -> None:
    """The engine without free memory is excluded, the primary is not."""
    progress = Progress()
    failure = AttemptFailure(
        'memory could not be reserved',
        Ran.NO,
        arrived=False,
        exclude='full',
    )
    progress.note(failure, 'first', 'first')
    assert progress.tried == {'full'}


def test_a_broken_tunnel_does_not_use_up_the_last_endpoint() -> None:
    """A stream ended early as the peer it went through was cut off."""
    broken = AttemptFailure('the stream stalled', Ran.UNKNOWN)
    progress = Progress()
    progress.note(broken, 'first', 'first')
    assert progress.is_last_chance('second', max_endpoints=2)
    progress.note(broken, 'second', '')
    assert not progress.is_exhausted(max_endpoints=2)
    assert progress.may_answer('second', max_endpoints=2)
    assert not progress.is_last_chance('second', max_endpoints=2)
    progress.note(broken, 'second', 'second')
    assert progress.is_exhausted(max_endpoints=2)


def test_a_call_asks_few_engines_that_lack_memory() -> None:
    """Guards against a flood of orders while all engines are full."""
    claimed = AttemptFailure('claimed', Ran.NO, arrived=False, is_full=True)
    progress = Progress()
    for name in ('first', 'second'):
        progress.note(claimed, name, name)
        assert not progress.may_answer(name, max_endpoints=2)
    assert progress.may_answer('fourth', max_endpoints=2)
    progress.note(claimed, 'third', 'third')
    assert not progress.may_answer('fourth', max_endpoints=2)
    assert progress.lacks_memory
    assert not progress.tried
