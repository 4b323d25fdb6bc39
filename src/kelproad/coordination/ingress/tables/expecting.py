"""Waiting for a confirmation that is overdue, or will come within a moment.

Another instance has heard the store, which then tells this one, or this one
stood still and asks again.  A caller who is sent on would meet others that are
no further.
"""

import asyncio
import contextlib
from collections.abc import Callable

import attrs

from ....transport.deadlines import monotonic, within

__all__ = ['ConfirmationWait', 'ExpectedConfirmation', 'LookOut']

#: Seconds for which a confirmation is expected while nothing comes of it, and
#: seconds after that until it is expected again: whoever hears nothing for so
#: long beside others that do is cut off from them.
_EXPECTED_SECONDS = 2.0
_REST_SECONDS = 10.0
#: Seconds that calls wait once for a confirmation that is overdue, and seconds
#: between two looks for it.
_OVERDUE_WAIT = 0.25
_LOOK_PERIOD = 0.01


@attrs.define
class LookOut:
    """Looks whether something is still to be waited for, while anybody waits.

    A thousand calls that each looked by themselves would keep the loop busy.
    """

    _is_awaited: Callable[[], bool]
    _looking: asyncio.Task[None] | None = None

    async def wait(self) -> None:
        """Wait as long as it is to be waited for."""
        if not self._is_awaited():
            return
        if self._looking is None or self._looking.done():
            self._looking = asyncio.create_task(self._look())
        await asyncio.shield(self._looking)

    async def _look(self) -> None:
        while self._is_awaited():
            await asyncio.sleep(_LOOK_PERIOD)


@attrs.define
class ConfirmationWait:
    """Waits a moment for the confirmation of an instance that stood still.

    What came into force meanwhile is known as soon as it asks.  One that is cut
    off waits once, and then serves by what it knows.
    """

    _measure_age: Callable[[], float]
    _read_longest_age: Callable[[], float]
    #: Monotonic time until which calls wait, ``None`` while none is overdue.
    _until: float | None = None
    _look_out: LookOut = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Look out for all calls together."""
        self._look_out = LookOut(self._is_expected)

    async def wait(self) -> None:
        """Wait until the configuration is confirmed, or none is expected."""
        await self._look_out.wait()

    def _is_expected(self) -> bool:
        if self._measure_age() <= self._read_longest_age():
            self._until = None
            return False
        if self._until is None:
            self._until = monotonic() + _OVERDUE_WAIT
        return monotonic() < self._until


@attrs.define
class ExpectedConfirmation:
    """The confirmation of the configuration, while it is to be expected.

    ``_is_near`` returns whether there is a reason to expect it.
    """

    _measure_age: Callable[[], float]
    _read_longest_age: Callable[[], float]
    _is_near: Callable[[], bool]
    #: Monotonic time until which it is expected, ``None`` while it is not.
    _until: float | None = None
    _look_out: LookOut = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Look out for all calls together."""
        self._look_out = LookOut(self._is_awaited)

    @property
    def is_expected(self) -> bool:
        """Whether a confirmation is lacking, and will probably come soon."""
        return self._is_awaited()

    async def wait(self, deadline: float) -> bool:
        """Wait for it until a monotonic time; return whether it came."""
        with contextlib.suppress(asyncio.TimeoutError):
            async with within(deadline):
                await self._look_out.wait()
        return self._is_confirmed()

    def _is_confirmed(self) -> bool:
        return self._measure_age() <= self._read_longest_age()

    def _is_awaited(self) -> bool:
        if self._is_confirmed() or not self._is_near():
            self._until = None
            return False
        now = monotonic()
        if self._until is None or now >= self._until + _REST_SECONDS:
            self._until = now + _EXPECTED_SECONDS
        return now < self._until
