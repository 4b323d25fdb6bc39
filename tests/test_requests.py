"""Records of requests in progress."""

from kelproad.state.requests import Decision


def test_note_takes_a_refusals_fields() -> None:
    """Details of a step may have any name, also that of a parameter.

    One field of a refusal had the name of a parameter of ``note``, so each
    failed attempt ended in an internal error.
    """
    decision = Decision('r', 'w', 's')
    decision.note('attempt failed', step='relay', peer='engine')
    assert decision.steps == [
        {'event': 'attempt failed', 'step': 'relay', 'peer': 'engine'},
    ]
