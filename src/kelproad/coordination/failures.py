"""Failed loads: when an engine may retry, and which versions to stop."""

import collections

import attrs
import msgspec

from ..state.orders import DesiredState, EngineState, ModelPhase, ModelState
from .rollout import FailedVersion

__all__ = ['LoadFailures']

#: Failed loads after which the rollout of a version stops.
FAILURES_TO_STOP = 2
#: Seconds to wait after a failed load, unless the engine names a time.
_PAUSE = 2.0


class LoadFailures:
    """Failed loads known to the holder of a zone's order lease."""

    def __init__(self) -> None:
        """Start without failures; see ``restore`` for the stopped versions."""
        self.stopped: frozenset[FailedVersion] = frozenset()
        #: Monotonic time before which an engine gets no new load, by name.
        self.not_before: dict[str, float] = {}
        self._counted_loads: dict[tuple[str, str], tuple[str, int]] = {}
        self._failures: collections.Counter[FailedVersion] = (
            collections.Counter()
        )

    def note(
        self,
        desired: DesiredState,
        state: EngineState,
        held: ModelState,
        now: float,
    ) -> bool:
        """Count each failed load once; return whether its version now stops.

        A load that the weight store rejected for now is not a failure.
        """
        key = (desired.endpoint, held.model)
        load = (state.incarnation, held.attempt)
        is_failed = held.phase is ModelPhase.FAILED
        if not is_failed or self._counted_loads.get(key) == load:
            return False
        self._counted_loads[key] = load
        pause = held.retry_after or _PAUSE
        self.not_before[desired.endpoint] = now + pause
        wanted = {item.model: item for item in desired.models}.get(held.model)
        if held.retry_after or wanted is None:
            return False
        failed = FailedVersion(held.model, held.version, wanted.generation)
        self._failures[failed] += 1
        if failed in self.stopped or self._failures[failed] < FAILURES_TO_STOP:
            return False
        self.stopped |= {failed}
        return True

    def forget(self, desired: dict[str, DesiredState]) -> None:
        """Forget stopped versions that were applied again or removed."""
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
        """Encode the stopped versions for the next holder, as JSON."""
        ordered = sorted(self.stopped, key=attrs.astuple)
        return msgspec.json.encode(ordered).decode()

    def restore(self, note: str) -> None:
        """Replace the stopped versions by those of the previous holder."""
        decoded = msgspec.json.decode(note or '[]', type=list[FailedVersion])
        self.stopped = frozenset(decoded)
