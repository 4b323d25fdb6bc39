"""Records of requests in progress."""

from kelproad.state.requests import Decision


def test_note_takes_a_refusals_fields() -> None:
    """Every attempt that failed ended in an internal error.

    The record of decisions was given the refusal's fields, one of which is
    called as the method's own parameter was, and the handler raised.
    """
    decision = Decision('r', 'w', 's')
    decision.note('attempt failed', step='relay', peer='engine')
    assert decision.steps == [
        {'event': 'attempt failed', 'step': 'relay', 'peer': 'engine'},
    ]
