"""How long streams may pause, by the routes of their service."""

import math

from kelproad.state.stalls import StallLimits


def test_the_shortest_pause_binds_beside_any_stream() -> None:
    """A site whose streams may pause longer was held to another one's pause."""
    limits = StallLimits.from_gaps((1, 2.4, 4))
    assert math.isclose(limits.gap_sensitive, 0.83)
    assert math.isclose(limits.gap_tolerant, 1.992)
    assert limits.is_gap_tolerant(2.4)
    assert not limits.is_gap_tolerant(1)


def test_routes_alike_have_no_patient_streams() -> None:
    """Nobody there permits a longer pause than the others."""
    limits = StallLimits.from_gaps((0.5, 0.6))
    assert limits.gap_tolerant == limits.gap_sensitive
    assert not limits.is_gap_tolerant(0.6)


def test_without_objectives_nothing_binds() -> None:
    """Routes that aim at no pause permit any."""
    limits = StallLimits.from_gaps(())
    assert limits.gap_sensitive == math.inf
    assert not limits.is_gap_tolerant(1)
