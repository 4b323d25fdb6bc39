"""One look-out for all calls that wait for the same."""

import asyncio
from collections.abc import Callable

import attrs

__all__ = ['LookOut']

#: Seconds between two looks.
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
