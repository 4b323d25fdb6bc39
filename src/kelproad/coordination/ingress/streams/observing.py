"""What the heads of endpoints' answers tell beside the answer itself."""

from collections.abc import Callable

from ....state.calls import AnswerHead
from ....state.endpoints import Endpoint
from ..limiting.observing import LimitObserver
from .unknownfields import UnknownFields

__all__ = ['build_answer_observer']


def build_answer_observer(
    limit_observer: LimitObserver,
) -> Callable[[Endpoint, AnswerHead], None]:
    """Build the function that gets the head of each endpoint's answer."""
    unknown_fields = UnknownFields()

    def observe(endpoint: Endpoint, head: AnswerHead) -> None:
        limit_observer.observe_answer(endpoint, head)
        unknown_fields.record(endpoint, head)

    return observe
