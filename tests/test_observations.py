"""Observations of engines, and when they expire."""

from kelproad.state.observations import EngineObservations

NOW = 1000.0


def test_engines_that_are_gone_are_forgotten() -> None:
    """Engines have a new name at each start; memory must not grow with them."""
    observations = EngineObservations()
    observations.record_slowdown('i-1', 4, NOW)
    observations.record_silence('i-1', NOW)
    observations.record_refusal('i-1', NOW)
    observations.accept_slow({'i-2': 4}, 'instance-b', NOW)
    observations.accept_refusing(['i-2'], NOW)
    assert observations.list_slow(NOW) == {'i-1': 4}
    assert observations.list_refusing(NOW) == ['i-1']
    assert not observations.list_slow(NOW + 60)
    assert observations == EngineObservations()
