"""Log of the fields in answers of endpoints that this system does not know.

They go on to callers unread.  One that is meant for this system is obeyed by
nobody until it is known here, so the log names each of them once.
"""

import logging

import attrs

from ....state.calls import AnswerHead
from ....state.endpoints import Endpoint
from ....state.records import OnceRecorder

__all__ = ['UnknownFields']

_logger = logging.getLogger(__name__)


@attrs.define
class UnknownFields:
    """Log of unknown fields, each name once since the start."""

    _recorder: OnceRecorder = attrs.field(factory=lambda: OnceRecorder(_logger))

    def record(self, endpoint: Endpoint, head: AnswerHead) -> None:
        """Log the unknown fields of an answer that were not logged before."""
        for name in sorted(head.unknown_fields):
            self._recorder.record(
                name,
                'endpoint_field_unknown',
                endpoint=endpoint.name,
                field=name,
            )
