"""Failed loads: when an engine may try again, and which versions to stop."""

import collections

import attrs
import msgspec

from ..state.orders import DesiredState, EngineState, ModelPhase, ModelState
from .rollout import Failed

__all__ = ['LoadFailures']

#: Failed loads after which a version is rolled out no further.
FAILURES_TO_STOP = 2
#: Seconds for which an engine rests after a failed load.
_PAUSE = 2.0


class LoadFailures:
    """What the holder of a zone's orders knows of failed loads."""

    def __init__(self) -> None:
        """Start with none."""
        self.stopped: frozenset[Failed] = frozenset()
        #: Engines that rest, with the monotonic time from which they may load.
        self.not_before: dict[str, float] = {}
        self._counted: dict[tuple[str, str], tuple[str, int]] = {}
        self._times: collections.Counter[Failed] = collections.Counter()

    def note(
        self,
        desired: DesiredState,
        state: EngineState,
        held: ModelState,
        now: float,
    ) -> bool:
        """Count each failed load once; tell whether its version now stops.

        A load that the weight store turned away is no failure.
        """
        key = (desired.endpoint, held.model)
        load = (state.incarnation, held.attempt)
        is_failed = held.phase is ModelPhase.FAILED
        if not is_failed or self._counted.get(key) == load:
            return False
        self._counted[key] = load
        pause = held.retry_after or _PAUSE
        self.not_before[desired.endpoint] = now + pause
        wanted = {item.model: item for item in desired.models}.get(held.model)
        if held.retry_after or wanted is None:
            return False
        failed = Failed(held.model, held.version, wanted.generation)
        self._times[failed] += 1
        if failed in self.stopped or self._times[failed] < FAILURES_TO_STOP:
            return False
        self.stopped |= {failed}
        return True

    def forget(self, desired: dict[str, DesiredState]) -> None:
        """Give a version that was applied again another chance."""
        wanted = {
            (model.model, model.generation)
            for item in desired.values()
            for model in item.models
        }
        self.stopped = frozenset(
            item
            for item in self.stopped
            if (item.model, item.generation) in wanted
        )

    def encode(self) -> str:
        """Encode what the next holder must know."""
        ordered = sorted(self.stopped, key=attrs.astuple)
        return msgspec.json.encode(ordered).decode()

    def restore(self, note: str) -> None:
        """Take over what the last holder knew."""
        decoded = msgspec.json.decode(note or '[]', type=list[Failed])
        self.stopped = frozenset(decoded)
