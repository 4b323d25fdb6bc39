"""Non-blocking structured logging to standard output, with a rate limit.

A thread writes the lines, so that a full pipe blocks no call.  Lines beyond the
rate limit, or logged while the queue is full, are dropped and counted; the
count is logged as soon as a line is accepted again.
"""

import logging
import queue
import sys
import time
from logging.handlers import QueueHandler, QueueListener

import msgspec

from ..state.records import EVENT_FIELDS, current_request

__all__ = ['configure_structured_logging']

#: Lines that may be queued for the pipe: some seconds of a busy instance.
_MAX_QUEUED_LINES = 4000
#: Maximum number of lines per second; a call logs three, and an instance of
#: present sites gets about five calls per second.
_LINES_PER_SECOND = 400


class _EventFormatter(logging.Formatter):
    """Formatter that writes one JSON object per line.

    Time, level, instance, event and request precede the event's fields; an
    event that has the request among its fields says itself where it stands.
    """

    def __init__(self, instance: str) -> None:
        """Add the name of the instance to each line."""
        super().__init__()
        self._instance = instance

    def format(self, record: logging.LogRecord) -> str:
        """Encode a record; its message is the name of the event."""
        fields = {
            'time': round(record.created, 4),
            'level': record.levelname,
            'instance': self._instance,
            'event': record.getMessage(),
        }
        told = getattr(record, EVENT_FIELDS, {})
        if current_request.get() and 'request' not in told:
            fields['request'] = current_request.get()
        fields.update(told)
        if record.exc_info:
            fields['exception'] = self.formatException(record.exc_info)
        return msgspec.json.encode(fields).decode()


class _BoundedHandler(QueueHandler):
    """Handler that queues lines for the writer thread, up to a rate limit."""

    def __init__(self, lines: queue.Queue) -> None:
        """Put formatted lines into the queue ``lines``."""
        super().__init__(lines)
        self._second = 0
        self._written = 0
        self._dropped = 0

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        """Format in the logging thread, whose context has the request id."""
        record.msg = self.format(record)
        record.args = None
        record.exc_info = None
        return record

    def enqueue(self, record: logging.LogRecord) -> None:
        """Queue a line, or drop and count it."""
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._written = 0
        if self._written >= _LINES_PER_SECOND:
            self._dropped += 1
            return
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            self._dropped += 1
            return
        self._written += 1
        self._report_dropped()

    def _report_dropped(self) -> None:
        if not self._dropped:
            return
        line = msgspec.json.encode(
            {'event': 'log_lines_dropped', 'count': self._dropped},
        )
        try:
            self.queue.put_nowait(logging.makeLogRecord({'msg': line.decode()}))
        except queue.Full:
            # The count is kept and logged with a later line.
            return
        self._dropped = 0


def configure_structured_logging(
    instance: str,
) -> QueueListener:
    """Write log lines of this process to standard output, one object each.

    Returns
    -------
    QueueListener
        Its ``stop`` writes the queued lines and ends the thread.
    """
    lines: queue.Queue = queue.Queue(_MAX_QUEUED_LINES)
    handler = _BoundedHandler(lines)
    handler.setFormatter(_EventFormatter(instance))
    writer = logging.StreamHandler(sys.stdout)
    writer.setFormatter(logging.Formatter('%(message)s'))
    logging.basicConfig(level=logging.INFO, handlers=[handler])
    # The mode library logs each start and stop of every service object.
    logging.getLogger('mode').setLevel(logging.WARNING)
    listener = QueueListener(lines, writer)
    listener.start()
    return listener
