"""Stall limits of streams, from the gap objectives of their routes."""

import math

from kelproad.state.engines import StallLimits


def test_the_shortest_gap_bounds_stalls_of_any_stream() -> None:
    """A site that permits longer gaps must not be held to another's limit."""
    limits = StallLimits.from_gaps((1, 2.4, 4))
    assert math.isclose(limits.gap_sensitive, 0.83)
    assert math.isclose(limits.gap_tolerant, 1.992)
    assert limits.is_gap_tolerant(2.4)
    assert not limits.is_gap_tolerant(1)


def test_similar_routes_have_no_gap_tolerant_streams() -> None:
    """No route permits a much longer gap than the others."""
    limits = StallLimits.from_gaps((0.5, 0.6))
    assert limits.gap_tolerant == limits.gap_sensitive
    assert not limits.is_gap_tolerant(0.6)


def test_without_objectives_stalls_are_unlimited() -> None:
    """Routes without an objective for gaps permit any."""
    limits = StallLimits.from_gaps(())
    assert limits.gap_sensitive == math.inf
    assert not limits.is_gap_tolerant(1)
