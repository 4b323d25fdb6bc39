"""Where a call may go after attempts that failed."""

from kelproad.coordination.ingress.attempts import AttemptFailure
from kelproad.coordination.ingress.progress import Progress
from kelproad.state.refusals import Ran

REFUSED = AttemptFailure('not run: status 503', Ran.NO)


def test_a_helper_that_refuses_costs_no_endpoint() -> None:
    """Two helpers that drain unseen made a call be refused after two tries."""
    progress = Progress()
    progress.note(REFUSED, 'first', 'draining')
    progress.note(REFUSED, 'second', 'draining-too')
    assert progress.tried == {'draining', 'draining-too'}
    assert not progress.is_exhausted(max_endpoints=2)
    assert progress.may_answer('first', max_endpoints=2)
    assert not progress.may_answer('third', max_endpoints=2)


def test_endpoints_that_refuse_are_spent() -> None:
    """A call is sent to no more endpoints than its route permits."""
    progress = Progress()
    progress.note(REFUSED, 'first', 'first')
    assert progress.may_answer('second', max_endpoints=2)
    progress.note(REFUSED, 'second', 'second')
    assert progress.is_exhausted(max_endpoints=2)


def test_missing_memory_is_not_the_first_ones_fault() -> None:
    """The engine without memory is left out, and the other one stays."""
    progress = Progress()
    failure = AttemptFailure(
        'memory could not be reserved',
        Ran.NO,
        arrived=False,
        exclude='full',
    )
    progress.note(failure, 'first', 'first')
    assert progress.tried == {'full'}
