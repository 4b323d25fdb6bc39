"""Figures and bounds of the benchmark, and the load that it generates."""

import math
import pathlib

import attrs
import pytest

from bench.figures import Bound, Case, check_bounds
from kelproad.cli.loadgen import LoadPlan, generate_arrivals
from kelproad.cli.loadreport import FirstTokenSample


def test_slowdown_compares_short_prompts_with_and_without_long_ones() -> None:
    case = Case('p', outcomes={'answered': 2}, dispatched=3)
    case.alone = [FirstTokenSample(2_000, 0.1, 0)]
    case.mixed = [
        FirstTokenSample(2_000, 0.3, 0),
        FirstTokenSample(200_000, 9, 0),
    ]
    fields = case.to_fields()
    assert fields['slowdown_p50'] == pytest.approx(3)
    assert fields['first_token_100k_p95'] == pytest.approx(9)
    assert fields['attempts'] == pytest.approx(1.5)


def test_bounds_fail_when_a_ratio_is_exceeded(tmp_path: pathlib.Path) -> None:
    path = tmp_path / 'bounds.yaml'
    path.write_text(
        'load-80:\n'
        '  - {figure: x, policy: p, baseline: b, at_most: 0.5}\n'
        '  - {figure: x, policy: p, baseline: absent, at_most: 0.5}\n',
    )
    good, bad = ({'p': {'x': value}, 'b': {'x': 10}} for value in (5, 6))
    assert check_bounds(path, 'load-80', good)[0].startswith('ok')
    assert check_bounds(path, 'load-80', bad)[0].startswith('FAILED')
    assert len(check_bounds(path, 'load-80', good)) == 1


def test_a_figure_that_was_not_measured_fails_its_bound() -> None:
    bound = Bound('x', 'p', 'b', 0.5)
    figures = {'p': {'x': math.nan}, 'b': {'x': 1}}
    assert bound.check(figures).startswith('FAILED')


def test_load_has_the_same_short_prompts_with_and_without_long_ones() -> None:
    plan = LoadPlan(['a', 'b'], 'k', 'm', 2_000, 5, 1, 900_000, 20, ['l'])
    mixed = list(generate_arrivals(plan))
    alone = list(generate_arrivals(attrs.evolve(plan, shorter_than=10_000)))
    assert alone == [a for a in mixed if a.prompt_tokens < 10_000]
    long_share = sum(a.prompt_tokens > 100_000 for a in mixed) / len(mixed)
    assert 100 * long_share == pytest.approx(2, abs=1)
