"""Results of a benchmark run: figures, table, plot and bounds."""

import pathlib
from collections.abc import Iterable

import attrs
import numpy
import yaml

from kelproad.cli.loadreport import (
    LENGTH_CLASSES,
    FirstTokenSample,
    Report,
    classify_length,
)

__all__ = ['Bound', 'Case', 'check_bounds', 'draw_plot', 'format_cases']

SHORT_TOKENS = 10_000
_LEVELS = (50, 95)


@attrs.define
class Case:
    """One policy under one load, without and with long prompts.

    Attributes
    ----------
    alone
        Answers to short prompts in rounds with short prompts only.
    mixed
        Answers to all prompts in rounds with short and long ones.
    dispatched
        Attempts at engines in the mixed rounds.
    """

    policy: str
    alone: list[FirstTokenSample] = attrs.field(factory=list)
    mixed: list[FirstTokenSample] = attrs.field(factory=list)
    outcomes: dict[str, int] = attrs.field(factory=dict)
    dispatched: int = 0

    def take(self, alone: Report, mixed: Report, dispatched: int) -> None:
        """Add the answers of one round."""
        self.dispatched += dispatched
        self.alone += alone.samples
        self.mixed += mixed.samples
        for outcome, count in mixed.outcomes.items():
            self.outcomes[outcome] = self.outcomes.get(outcome, 0) + count

    def to_fields(self) -> dict[str, float | dict[str, int]]:
        """Return the figures by name, times in seconds."""
        fields: dict[str, float | dict[str, int]] = {
            'outcomes': self.outcomes,
            'attempts': self.dispatched / sum(self.outcomes.values()),
        }
        for level in _LEVELS:
            alone = _percentile(_select_short(self.alone), level)
            mixed = _percentile(_select_short(self.mixed), level)
            fields[f'short_alone_p{level}'] = alone
            fields[f'short_mixed_p{level}'] = mixed
            fields[f'slowdown_p{level}'] = mixed / alone
            for name in LENGTH_CLASSES:
                fields[f'first_token_{name}_p{level}'] = _percentile(
                    _select_class(self.mixed, name),
                    level,
                )
        return fields


@attrs.frozen
class Bound:
    """Limit of the ratio between one figure of two policies.

    Unlike times, ratios within one run hardly depend on the machine's load.
    """

    figure: str
    policy: str
    baseline: str
    at_most: float

    def check(self, figures: dict[str, dict[str, float]]) -> str:
        """Return a report line that begins with ``ok`` or ``FAILED``."""
        measured = figures[self.policy][self.figure]
        ratio = measured / figures[self.baseline][self.figure]
        verdict = 'ok' if ratio <= self.at_most else 'FAILED'
        return (
            f'{verdict}: {self.figure} of {self.policy} is {ratio:.2f} times '
            f'that of {self.baseline}, at most {self.at_most}'
        )


def check_bounds(
    path: pathlib.Path,
    load: str,
    figures: dict[str, dict[str, float]],
) -> list[str]:
    """Check the bounds of a load in a file; return a line for each.

    Bounds of policies that were not measured are skipped.
    """
    listed = yaml.safe_load(path.read_text()).get(load, [])
    bounds = [Bound(**fields) for fields in listed]
    return [
        bound.check(figures)
        for bound in bounds
        if {bound.policy, bound.baseline} <= figures.keys()
    ]


def format_cases(figures: dict[str, dict[str, float]]) -> str:
    """Format the figures as a table, a row for each policy."""
    names = [
        name
        for name in next(iter(figures.values()))
        if name.startswith(('slowdown', 'first', 'attempts'))
    ]
    titles = [name.removeprefix('first_token_') for name in names]
    head = ''.join(f'{title:>14}' for title in titles)
    lines = [f'{"":22}{head}']
    for policy, row in figures.items():
        cells = ''.join(f'{row[name]:14.3f}' for name in names)
        lines.append(f'{policy:22}{cells}  {row["outcomes"]}')
    return '\n'.join(lines)


def draw_plot(figures: dict[str, dict[str, float]], path: pathlib.Path) -> None:
    """Plot slowdown and time to first token of every policy."""
    import matplotlib

    matplotlib.use('Agg')
    from matplotlib import pyplot

    plot, (left, right) = pyplot.subplots(1, 2, figsize=(13, 5))
    groups = (
        (left, [f'slowdown_p{level}' for level in _LEVELS]),
        (right, [f'first_token_{name}_p95' for name in LENGTH_CLASSES]),
    )
    for axes, names in groups:
        width = 0.8 / len(figures)
        for number, (policy, row) in enumerate(figures.items()):
            positions = [index + number * width for index in range(len(names))]
            heights = [row[name] for name in names]
            axes.bar(positions, heights, width, label=policy)
        axes.set_xticks(range(len(names)), names, rotation=15)
        axes.set_yscale('log')
    left.set_title('slowdown of short requests')
    right.set_title('time to first token, s')
    right.legend(fontsize='small')
    plot.tight_layout()
    plot.savefig(path)


def _select_short(samples: Iterable[FirstTokenSample]) -> list[float]:
    return [
        sample.seconds
        for sample in samples
        if sample.prompt_tokens < SHORT_TOKENS
    ]


def _select_class(
    samples: Iterable[FirstTokenSample], name: str
) -> list[float]:
    return [
        sample.seconds
        for sample in samples
        if classify_length(sample.prompt_tokens) == name
    ]


def _percentile(seconds: list[float], level: float) -> float:
    return float(numpy.percentile(seconds, level)) if seconds else float('nan')
