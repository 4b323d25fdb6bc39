"""Results of a load run: counts, and latency histograms by prompt length."""

import collections
import types

import attrs
from hdrh.histogram import HdrHistogram

__all__ = [
    'LENGTH_CLASSES',
    'Report',
    'FirstTokenSample',
    'format_table',
    'classify_length',
]

#: Upper bound, in tokens and exclusive, of each class of prompt lengths.
LENGTH_CLASSES = types.MappingProxyType(
    {
        '1k': 3_000,
        '10k': 30_000,
        '100k': 300_000,
        '1M': float('inf'),
    }
)
#: Range and significant digits of the histograms; the upper end is one hour.
_LOWEST_MICROSECONDS = 1
_HIGHEST_MICROSECONDS = 3_600_000_000
_DIGITS = 3
_MICROSECONDS = 1_000_000
_PERCENTILES = (50, 95, 99)


def classify_length(prompt_tokens: int) -> str:
    """Return the name of the length class that a prompt belongs to."""
    for name, limit in LENGTH_CLASSES.items():
        if prompt_tokens < limit:
            return name
    raise ValueError(f'not a prompt length: {prompt_tokens}')


def _create_histogram() -> HdrHistogram:
    return HdrHistogram(_LOWEST_MICROSECONDS, _HIGHEST_MICROSECONDS, _DIGITS)


@attrs.frozen
class FirstTokenSample:
    """Time to first token of one answer."""

    prompt_tokens: int
    seconds: float
    workspace: int


@attrs.define
class Report:
    """Results of a run.

    Attributes
    ----------
    first_token
        Histogram of the times to first token, by length class.
    between_tokens
        Histogram of the times between consecutive tokens.
    answered_tokens
        Prompt tokens of the requests that were answered completely.
    outcomes_by_workspace
        Counts of outcomes by the index of the workspace's key.
    """

    sent: int = 0
    outcomes: collections.Counter[str] = attrs.field(
        factory=collections.Counter,
    )
    first_token: dict[str, HdrHistogram] = attrs.field(
        factory=lambda: collections.defaultdict(_create_histogram),
    )
    between_tokens: HdrHistogram = attrs.field(factory=_create_histogram)
    answered_tokens: int = 0
    samples: list[FirstTokenSample] = attrs.field(factory=list)
    outcomes_by_workspace: dict[int, collections.Counter[str]] = attrs.field(
        factory=lambda: collections.defaultdict(collections.Counter),
    )

    def record_first_token(
        self,
        prompt_tokens: int,
        seconds: float,
        workspace: int = 0,
    ) -> None:
        """Record a time to first token."""
        self.samples.append(FirstTokenSample(prompt_tokens, seconds, workspace))
        histogram = self.first_token[classify_length(prompt_tokens)]
        histogram.record_value(max(1, round(seconds * _MICROSECONDS)))

    def record_token_gap(self, seconds: float) -> None:
        """Record the time between two consecutive tokens of an answer."""
        self.between_tokens.record_value(max(1, round(seconds * _MICROSECONDS)))

    def to_fields(self) -> dict[str, object]:
        """Return the results as plain JSON values, with times in seconds."""
        return {
            'sent': self.sent,
            'outcomes': dict(self.outcomes),
            'first_token': {
                name: _summarize(self.first_token[name])
                for name in LENGTH_CLASSES
                if name in self.first_token
            },
            'between_tokens': _summarize(self.between_tokens),
        }


def format_table(report: Report) -> str:
    """Format the results as a table for the terminal."""
    fields = report.to_fields()
    lines = [
        f'sent {report.sent}: '
        + ', '.join(f'{n} {name}' for name, n in report.outcomes.most_common()),
        f'{"":22}{"count":>8}{"p50 s":>10}{"p95 s":>10}{"p99 s":>10}',
    ]
    rows = {
        f'first token, {name}': row
        for name, row in fields['first_token'].items()
    }
    rows['between tokens'] = fields['between_tokens']
    for title, row in rows.items():
        times = ''.join(f'{row[f"p{level}"]:10.3f}' for level in _PERCENTILES)
        lines.append(f'{title:22}{row["count"]:>8}{times}')
    return '\n'.join(lines)


def _summarize(histogram: HdrHistogram) -> dict[str, float]:
    return {
        'count': histogram.get_total_count(),
        **{
            f'p{level}': histogram.get_value_at_percentile(level)
            / _MICROSECONDS
            for level in _PERCENTILES
        },
    }
