"""Marks of the runs that the events of a stream come from."""

import itertools
from typing import Self

import attrs

__all__ = ['MARKED_QUERY', 'MarkedEvent', 'find_misjoined']

#: Query by which a stand-in engine marks the events that it sends.
MARKED_QUERY = 'marked=1'


@attrs.frozen
class MarkedEvent:
    """An event; ``run`` is unique, ``after`` the event that it resumes."""

    number: int
    endpoint: str
    run: str
    after: int

    @classmethod
    def from_line(cls, line: str) -> Self | None:
        """Read the data line of an event; ``None`` for another line."""
        if not line.startswith('data: piece'):
            return None
        *_, number, _, mark = line.split()
        endpoint, run, after = mark.split('/')
        return cls(int(number), endpoint, f'{endpoint}/{run}', int(after))

    @classmethod
    def list_from_body(cls, body: str) -> list[Self]:
        """Read the events of a body, of which the last line may be cut."""
        lines = body.split('\n')[:-1]
        read = [cls.from_line(line) for line in lines]
        return [event for event in read if event]


def find_misjoined(events: list[MarkedEvent]) -> str:
    """Return where runs are joined without a resume; empty if nowhere."""
    begun: set[str] = set()
    for run, group in itertools.groupby(events, lambda event: event.run):
        first = next(group)
        if run in begun or first.after != first.number - 1:
            return f'event {first.number} joined within the run {run}'
        begun.add(run)
    return ''
