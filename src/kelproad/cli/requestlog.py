"""Events of one request, collected from the logs of instances.

Lines may have other text before the JSON, such as a timestamp added by a log
collector.  Several logs can be read together, since a refused caller may repeat
its call at another instance, under another request id.
"""

import json
import pathlib
from collections.abc import Iterable, Iterator

import attrs

__all__ = ['LogLine', 'read_request_events']

#: Fields that aren't repeated among the details of a formatted line.
_COMMON_FIELDS = frozenset(('time', 'level', 'instance', 'event', 'request'))


@attrs.frozen
class LogLine:
    """One event of a request.

    Attributes
    ----------
    at
        Unix time in seconds, by the clock of the instance.
    """

    at: float
    instance: str
    event: str
    fields: dict[str, object]

    def tell(self, since: float) -> str:
        """Format time (relative to ``since``), instance, event and details."""
        details = ' '.join(
            f'{name}={json.dumps(value)}' for name, value in self.fields.items()
        )
        offset = self.at - since
        return f'{offset:+9.4f} s  {self.instance:16} {self.event:18} {details}'


def read_request_events(
    request_id: str,
    paths: Iterable[pathlib.Path],
) -> list[LogLine]:
    """Collect the events of a request, the earliest first."""
    found = [line for path in paths for line in _read_lines(path, request_id)]
    return sorted(found, key=lambda line: line.at)


def _read_lines(path: pathlib.Path, request_id: str) -> Iterator[LogLine]:
    with path.open(errors='replace') as opened:
        for text in opened:
            if request_id in text:
                line = _parse(text)
                if line is not None and line[0] == request_id:
                    yield line[1]


def _parse(text: str) -> tuple[str, LogLine] | None:
    """Return request id and event of a line, or None if it is no event."""
    _, brace, rest = text.partition('{')
    try:
        fields = json.loads(brace + rest)
    except json.JSONDecodeError:
        return None
    if 'event' not in fields or 'time' not in fields:
        return None
    return fields.get('request', ''), LogLine(
        fields['time'],
        fields.get('instance', ''),
        fields['event'],
        {
            name: value
            for name, value in fields.items()
            if name not in _COMMON_FIELDS
        },
    )
