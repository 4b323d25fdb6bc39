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
    ended = paths.record_connected('10.0.0.2:80', NOW + 2)
    assert not ended.begins
    assert not paths.in_outage


def test_failures_between_connections_are_no_outage() -> None:
    """Endpoints that fail while others connect are not taken for a cut."""
    paths = DirectPaths()
    paths.record_failed('10.0.0.1:80', NOW)
    paths.record_connected('10.0.0.2:80', NOW + 1)
    assert not paths.record_failed('10.0.0.3:80', NOW + 2)


def test_only_a_peer_that_connects_shows_a_lost_path() -> None:
    """An endpoint that is down is not taken for a path that is lost."""
    paths = DirectPaths()
    paths.record_failed('10.0.0.1:80', NOW)
    assert not paths.is_lost('10.0.0.1:80', NOW)
    paths.record_tunneled('10.0.0.1:80', NOW)
    assert paths.is_lost('10.0.0.1:80', NOW + 1)
    assert paths.count_lost(NOW + 1) == 1
    assert not paths.is_lost('10.0.0.1:80', NOW + 3)
    assert paths.count_lost(NOW + 3) == 0


def test_an_instance_that_started_during_a_cut_knows_its_paths() -> None:
    """Without any connection before it would blame the endpoints."""
    paths = DirectPaths()
    paths.record_failed('10.0.0.1:80', NOW)
    change = paths.record_failed('10.0.0.2:80', NOW)
    assert change.begins
    assert paths.is_doubtful('10.0.0.3:80', NOW)


def test_paths_stay_mute_while_probes_fail_at_one_endpoint() -> None:
    """Calls would use the paths again every two seconds, and get no answer."""
    paths = DirectPaths()
    assert not paths.record_unanswered('10.0.0.1:80', NOW)
    assert paths.record_unanswered('10.0.0.2:80', NOW)
    for probed_at in (NOW + 1.5, NOW + 3, NOW + 4.5, NOW + 6):
        assert not paths.record_unanswered('10.0.0.1:80', probed_at)
        assert paths.is_mute(probed_at + 1.4)
    # Peers would otherwise ask this instance for tunnels.
    assert paths.count_lost(NOW + 9)
    assert not paths.is_mute(NOW + 20)
    paths.record_unanswered('10.0.0.1:80', NOW + 20)
    assert not paths.is_mute(NOW + 20)


def test_calls_without_answers_are_probed_until_one_is_answered() -> None:
    """Connections that are made and bring nothing would be used for ever."""
    paths = DirectPaths()
    paths.record_unanswered('10.0.0.1:80', NOW)
    assert not paths.is_mute(NOW)
    paths.record_unanswered('10.0.0.2:80', NOW)
    assert paths.is_mute(NOW + 1)
    assert paths.take_probe(NOW + 1)
    assert not paths.take_probe(NOW + 1.4)
    assert paths.take_probe(NOW + 1.5)
    assert paths.record_answered(NOW + 1.5)
    assert not paths.record_answered(NOW + 1.5)
    assert not paths.is_mute(NOW + 1.5)
    assert paths.answered_lately(NOW + 1.6)
    assert not paths.answered_lately(NOW + 2)
