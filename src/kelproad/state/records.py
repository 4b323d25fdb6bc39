"""Structured log records: an event's name and its fields.

A record is one line of a log.  It contains a decision or an observation, the
inputs, their age or version, and the outcome.
"""

import logging

__all__ = ['EVENT_FIELDS', 'record']

#: Attribute of a log record that holds the fields of its event.
EVENT_FIELDS = 'event_fields'


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
