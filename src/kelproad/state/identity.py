"""Identity of this process and the ids derived from it."""

import itertools
import time
from typing import Self

import attrs

__all__ = ['Identity']


@attrs.define
class Identity:
    """Name, zone and incarnation of this process, and its request ids.

    Attributes
    ----------
    incarnation
        Wall-clock time of the start in nanoseconds.  A restarted process has a
        higher one, so ids of two incarnations never collide.
    """

    instance: str
    zone: str
    incarnation: int
    _counter: itertools.count = attrs.field(factory=lambda: itertools.count(1))

    @classmethod
    def from_start(cls, instance: str, zone: str) -> Self:
        """Create an identity with the present time as the incarnation."""
        return cls(instance, zone, time.time_ns())

    @property
    def owner(self) -> str:
        """Owner name of this incarnation for engine memory and claims."""
        return f'{self.instance}:{self.incarnation}'

    def next_request_id(self) -> str:
        """Return a new request id, which contains the instance's name."""
        return f'{self.instance}:{self.incarnation:x}:{next(self._counter)}'
