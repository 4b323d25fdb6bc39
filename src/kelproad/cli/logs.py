"""Log lines on standard error, each with the instance and request id."""

import json
import logging

from ..protocol.settings import LogFormat, Settings
from ..state.records import current_request

__all__ = ['configure_logging']

_PLAIN_LINE = (
    '%(asctime)s %(levelname)s %(instance)s %(request)s %(name)s: %(message)s'
)
#: Stands for the request id on lines that belong to no request.
_NO_REQUEST = '-'


class _JsonFormatter(logging.Formatter):
    """Formatter that writes one JSON object per line."""

    def format(self, record: logging.LogRecord) -> str:
        """Encode time, level, instance, request, logger, message, exception."""
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
    """Configure the root logger with the format and level of the settings."""
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
    # The mode library logs each start and stop of every service object.
    logging.getLogger('mode').setLevel(logging.WARNING)
