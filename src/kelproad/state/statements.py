"""What endpoints state about themselves in their answers.

A statement that is decoded has a field here, so that whatever reads answers
gets all of them: answers to calls, and replies to reports and orders.
"""

import attrs

__all__ = ['EndpointStatements']


@attrs.frozen
class EndpointStatements:
    """The statements of one answer.

    Attributes
    ----------
    request_limit
        Requests per second that the endpoint accepts from all instances
        together, ``None`` when it states no limit.
    unreadable_limit
        Stated limits that are no numbers; empty for none.
    leaves
        Whether the endpoint states that it leaves.
    pause
        Seconds for which the endpoint wants no requests from this instance; 0
        when it states none.
    warm_up
        Seconds for which the endpoint goes on warming up; ``None`` when it
        states none.
    unreadable
        Other statements that could not be read, by field name.
    """

    request_limit: float | None = None
    unreadable_limit: str = ''
    leaves: bool = False
    pause: float = 0
    warm_up: float | None = None
    unreadable: tuple[tuple[str, str], ...] = ()

    @property
    def any_stated(self) -> bool:
        """Whether the endpoint stated anything, if only unreadably."""
        return self != _NOTHING

    @property
    def declines_calls(self) -> bool:
        """Whether the endpoint wants no more calls, for good or for a time."""
        return self.leaves or self.pause > 0


_NOTHING = EndpointStatements()
