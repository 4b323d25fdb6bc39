"""When an instance should get calls, by what it knows."""

import types

import pytest

from kelproad.coordination.drain import DrainPhase
from kelproad.coordination.ingress.readiness import Readiness
from kelproad.coordination.ingress.settings import Bounds


@pytest.mark.parametrize(
    ('is_read', 'store_failing', 'is_ready'),
    [(True, False, True), (False, False, False), (False, True, True)],
)
def test_an_instance_gets_calls_once_it_knows_what_others_wrote(
    is_read: bool, store_failing: bool, is_ready: bool
) -> None:
    """Guards against barred requests served just after a start."""
    readiness = Readiness(
        types.SimpleNamespace(phase=DrainPhase.SERVING),
        types.SimpleNamespace(current=True),
        types.SimpleNamespace(
            registry=['i-0'],
            confirmation=types.SimpleNamespace(is_compared=True),
            configuration=types.SimpleNamespace(
                failing=store_failing, measure_age=int
            ),
        ),
        None,
        types.SimpleNamespace(is_behind=False),
        types.SimpleNamespace(is_read=is_read),
        Bounds,
        list,
    )
    assert not readiness.explain_unready() == is_ready
