"""Structured log records: an event's name and its fields.

A record is one line of a log.  It contains a decision or an observation, the
inputs, their age or version, and the outcome.
"""

import contextvars
import logging
from collections.abc import Hashable

import attrs

__all__ = ['EVENT_FIELDS', 'OnceRecorder', 'current_request', 'record']

#: Attribute of a log record that holds the fields of its event.
EVENT_FIELDS = 'event_fields'
#: Id of the request whose task is running, empty outside of one.  A task
#: inherits it from the task that starts it.
current_request: contextvars.ContextVar[str] = contextvars.ContextVar(
    'current_request',
    default='',
)
#: Keys of which a recorder records each once, at most.
_MAX_KEYS = 100


def record(logger: logging.Logger, event: str, /, **fields: object) -> None:
    """Log one structured record at level INFO.

    Parameters
    ----------
    logger
        Logger of the calling module.
    event
        Name of the event, in snake case.
    fields
        Inputs and outcome, which must be JSON-serializable.
    """
    logger.info(event, extra={EVENT_FIELDS: fields})


@attrs.define
class OnceRecorder:
    """Recorder of events that others may cause any number of times.

    Each key is recorded once, and ``_MAX_KEYS`` keys at most.
    """

    _logger: logging.Logger
    _keys: set[Hashable] = attrs.field(factory=set)

    def record(self, key: Hashable, event: str, **fields: object) -> None:
        """Record an event unless one with its key was recorded before."""
        if key in self._keys or len(self._keys) >= _MAX_KEYS:
            return
        self._keys.add(key)
        record(self._logger, event, **fields)
