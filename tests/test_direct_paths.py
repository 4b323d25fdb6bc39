"""What an instance concludes from its own connections to endpoints."""

from kelproad.state.directpaths import DirectPaths

NOW = 1000.0


def test_one_endpoint_that_fails_is_no_outage() -> None:
    """An endpoint without power is not taken for a cut of the instance."""
    paths = DirectPaths()
    assert not paths.record_failed('10.0.0.1:80', NOW)
    assert not paths.record_failed('10.0.0.1:80', NOW + 1)
    assert not paths.in_outage


def test_failures_at_several_endpoints_are_an_outage_until_one_connects() -> (
    None
):
    """A cut instance logs once that it reaches no endpoint, and its end."""
    paths = DirectPaths()
    paths.record_connected('10.0.0.1:80', NOW)
    assert not paths.record_failed('10.0.0.1:80', NOW + 1)
    assert paths.record_failed('10.0.0.2:80', NOW + 1)
    assert not paths.record_failed('10.0.0.3:80', NOW + 1)
    assert paths.describe(NOW + 2)['connected_age'] == 2
    assert paths.record_connected('10.0.0.2:80', NOW + 2)
    assert not paths.in_outage


def test_failures_between_connections_are_no_outage() -> None:
    """Endpoints that fail while others connect are not taken for a cut."""
    paths = DirectPaths()
    paths.record_failed('10.0.0.1:80', NOW)
    paths.record_connected('10.0.0.2:80', NOW + 1)
    assert not paths.record_failed('10.0.0.3:80', NOW + 2)
