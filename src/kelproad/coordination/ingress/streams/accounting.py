"""Work of one attempt in the ledger, for as long as it is in flight."""

from ....state.calls import Call
from ....state.work import EndpointWork, WorkLedger
from ..placing.placement import Placement

__all__ = ['AttemptAccount']


class AttemptAccount:
    """Context manager that records the work of an attempt in the ledger."""

    def __init__(
        self,
        ledger: WorkLedger,
        call: Call,
        placement: Placement,
    ) -> None:
        """Derive the work from a placement; nothing is recorded yet."""
        self._ledger = ledger
        primary = placement.primary.name
        reserved = sum(share.tokens for share in placement.shares)
        needed = call.head.prompt_tokens + call.head.answer_tokens
        self._held = [
            (
                primary,
                EndpointWork(
                    calls=1,
                    context_tokens=needed - reserved,
                    patient_calls=placement.gap_tolerant,
                ),
            ),
            *(
                (
                    share.endpoint.name,
                    EndpointWork(context_tokens=share.tokens),
                )
                for share in placement.shares
            ),
        ]
        part = EndpointWork(
            prefill_seconds=placement.part_seconds,
            helping=1,
        )
        self._prefills = [
            (endpoint.name, part)
            for endpoint in (placement.primary, *placement.helpers)
        ]
        self._prefilling = False

    def __enter__(self) -> 'AttemptAccount':
        """Record the work at all engines of the placement."""
        for name, work in (*self._held, *self._prefills):
            self._ledger.begin(name, work)
        self._prefilling = True
        return self

    def __exit__(self, *_error: object) -> None:
        """Remove all of it."""
        self.end_prefill()
        for name, work in self._held:
            self._ledger.end(name, work)

    def end_prefill(self) -> None:
        """Remove the prefill: the first token has come, or never will."""
        if self._prefilling:
            self._prefilling = False
            for name, work in self._prefills:
                self._ledger.end(name, work)
