"""Log lines in a structured form, with instance and request on each."""

import json
import logging

from ..protocol.settings import LogFormat, Settings
from ..state.context import current_request

__all__ = ['configure_logging']

_PLAIN_LINE = (
    '%(asctime)s %(levelname)s %(instance)s %(request)s %(name)s: %(message)s'
)
_NO_REQUEST = '-'


class _JsonFormatter(logging.Formatter):
    """One JSON object a line."""

    def format(self, record: logging.LogRecord) -> str:
        """Format a record with its time, level, instance and message."""
        fields = {
            'time': self.formatTime(record),
            'level': record.levelname,
            'instance': getattr(record, 'instance', ''),
            'request': getattr(record, 'request', ''),
            'logger': record.name,
            'message': record.getMessage(),
        }
        if record.exc_info:
            fields['exception'] = self.formatException(record.exc_info)
        return json.dumps(fields)


def configure_logging(settings: Settings) -> None:
    """Write log lines to standard error as the settings say."""
    handler = logging.StreamHandler()
    if settings.log_format is LogFormat.JSON:
        handler.setFormatter(_JsonFormatter())
    else:
        handler.setFormatter(logging.Formatter(_PLAIN_LINE))

    def add_origin(record: logging.LogRecord) -> bool:
        record.instance = settings.instance
        record.request = current_request.get() or _NO_REQUEST
        return True

    handler.addFilter(add_origin)
    logging.basicConfig(level=settings.log_level, handlers=[handler])
    # The service library logs each start and stop of every small service.
    logging.getLogger('mode').setLevel(logging.WARNING)
