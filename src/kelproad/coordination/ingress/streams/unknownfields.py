"""Log of the fields in answers of endpoints that this system does not know.

They go on to callers unread.  One that is meant for this system is obeyed by
nobody until it is known here, so the log names each of them once.
"""

import logging

import attrs

from ....state.calls import AnswerHead
from ....state.endpoints import Endpoint
from ....state.records import record

__all__ = ['UnknownFields']

_logger = logging.getLogger(__name__)
#: Names that are logged at most: an endpoint may make up any number of them.
_MAX_NAMES = 100


@attrs.define
class UnknownFields:
    """Names of unknown fields that were logged since the start."""

    _names: set[str] = attrs.field(factory=set)

    def record(self, endpoint: Endpoint, head: AnswerHead) -> None:
        """Log the unknown fields of an answer that were not logged before."""
        if head.unknown_fields <= self._names:
            return
        for name in sorted(head.unknown_fields - self._names):
            if len(self._names) >= _MAX_NAMES:
                return
            self._names.add(name)
            record(
                _logger,
                'endpoint_field_unknown',
                endpoint=endpoint.name,
                field=name,
            )
