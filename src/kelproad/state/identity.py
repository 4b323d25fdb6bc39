"""Who this process is."""

import itertools
import time
from typing import Self

import attrs

__all__ = ['Identity']


@attrs.define
class Identity:
    """Name, zone and incarnation of this process, and the ids it gives out.

    Attributes
    ----------
    incarnation
        Nanoseconds of the wall clock at the start.  A restarted process has a
        higher one, so ids of two lives of an instance never collide.
    """

    instance: str
    zone: str
    incarnation: int
    _counter: itertools.count = attrs.field(factory=lambda: itertools.count(1))

    @classmethod
    def from_start(cls, instance: str, zone: str) -> Self:
        """Take the present moment as the start of this life."""
        return cls(instance, zone, time.time_ns())

    @property
    def owner(self) -> str:
        """The name under which this life holds engine memory and claims."""
        return f'{self.instance}:{self.incarnation}'

    def next_request_id(self) -> str:
        """Give out a request id that names this instance."""
        return f'{self.instance}:{self.incarnation:x}:{next(self._counter)}'
