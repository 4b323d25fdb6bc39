"""Events of one request, collected from the logs of instances.

Lines may have other text before the JSON, such as a timestamp added by a log
collector.  Several logs can be read together, since a refused caller may repeat
its call at another instance, under another request id.

On request they come with what else an instance told while it had the request.
"""

import json
import pathlib
from collections.abc import Iterable, Iterator

import attrs

__all__ = ['LogLine', 'read_request_events']

#: Fields that aren't repeated among the details of a formatted line.
_COMMON_FIELDS = frozenset(('time', 'level', 'instance', 'event', 'request'))
#: Events of an instance that may explain what happens to its requests.
_SURROUNDING_EVENTS = frozenset(
    (
        'configuration_adopted',
        'configuration_confirmed',
        'configuration_unconfirmed',
        'direct_paths_answered',
        'direct_paths_lost',
        'direct_paths_mute',
        'direct_paths_regained',
        'event_loop_late',
        'instance_started',
        'instance_stopping',
        'settings_reloaded',
        'store_lost',
        'store_regained',
    )
)
#: Seconds after the last line of a request within which a standstill is told.
_TOLD_WITHIN = 0.2
#: Fields that say how many seconds before its line an event began.
_DURATIONS = ('elapsed', 'waited', 'seconds')


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

    @property
    def began_at(self) -> float:
        """Unix time at which what is told began."""
        told = [self.fields.get(name) for name in _DURATIONS]
        seconds = [value for value in told if isinstance(value, int | float)]
        return self.at - max(seconds, default=0)

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
    around: bool = False,
) -> list[LogLine]:
    """Collect the events of a request, the earliest first.

    With ``around`` come the events that may explain them: those of the same
    instances, while they had the request.
    """
    own: list[LogLine] = []
    others: list[LogLine] = []
    for path in paths:
        for found_id, line in _read_lines(path, request_id, around):
            kept = own if found_id == request_id else others
            kept.append(line)
    spans = _find_spans(own)
    own.extend(line for line in others if _is_within(line, spans))
    return sorted(own, key=lambda line: line.at)


def _find_spans(lines: list[LogLine]) -> dict[str, tuple[float, float]]:
    """Find from when to when each instance had a request."""
    spans: dict[str, tuple[float, float]] = {}
    for line in lines:
        begin, end = spans.get(line.instance, (line.began_at, line.at))
        spans[line.instance] = (min(begin, line.began_at), max(end, line.at))
    return spans


def _is_within(line: LogLine, spans: dict[str, tuple[float, float]]) -> bool:
    if line.instance not in spans:
        return False
    begin, end = spans[line.instance]
    return begin <= line.at and line.began_at <= end + _TOLD_WITHIN


def _read_lines(
    path: pathlib.Path, request_id: str, around: bool
) -> Iterator[tuple[str, LogLine]]:
    """Yield the events of a request, and others that may explain them."""
    with path.open(errors='replace') as opened:
        texts = (text for text in opened if around or request_id in text)
        for parsed in filter(None, map(_parse, texts)):
            found_id, line = parsed
            may_explain = around and line.event in _SURROUNDING_EVENTS
            if may_explain or found_id == request_id:
                yield parsed


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
