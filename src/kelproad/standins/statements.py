"""What a stand-in for an endpoint states about itself in its answers."""

import attrs

__all__ = ['Statements']


@attrs.define
class Statements:
    """The statements at present.

    Attributes
    ----------
    limit
        Requests per second, in answers to calls; empty for none.
    leaving
        Value of the field that states that it leaves; empty for none.
    leaving_every
        Every n-th answer to a call states that it leaves; 0 for none, so that
        only replies to reports and orders state it.
    pause
        Value of ``Retry-After`` in the answers that turn a call away; empty for
        none.
    turn_away_every
        Every n-th call is turned away; 0 for none.
    turn_away_replies
        Whether reports and orders are turned away, too.
    """

    limit: str = ''
    leaving: str = ''
    leaving_every: int = 1
    pause: str = ''
    turn_away_every: int = 0
    turn_away_replies: bool = False
    _answers: int = 0
    _calls: int = 0

    def turns_away(self) -> bool:
        """Return whether the next call is turned away, and count it."""
        self._calls += 1
        every = self.turn_away_every
        return bool(every) and self._calls % every == 0

    def build_answer_fields(self) -> dict[str, str]:
        """Build the fields of the next answer to a call."""
        self._answers += 1
        fields = {'Server-Limit': self.limit} if self.limit else {}
        every = self.leaving_every
        if every and self._answers % every == 0:
            fields |= self.build_reply_fields()
        return fields

    def build_reply_fields(self) -> dict[str, str]:
        """Build the fields of a reply to a report or an order."""
        return {'Server-Leaving': self.leaving} if self.leaving else {}

    def build_pause_fields(self) -> dict[str, str]:
        """Build the fields that say until when nothing is wanted."""
        return {'Retry-After': self.pause} if self.pause else {}
