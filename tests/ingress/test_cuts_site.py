"""Instances that lose their connections to all endpoints."""

from collections.abc import Iterator

import pytest

from testbed.cuts import CuttableSite, Load, start_cuttable_site
from testbed.soak.links import Cut

#: Zones of the instances edge-1 to edge-4.
ZONES = 'abab'
ALL = frozenset(('edge-1', 'edge-2', 'edge-3', 'edge-4'))
#: Calls per second of all callers together.
RATE = 40
#: Seconds from the begin of a load: the cut, its end, and the load's end.
CUT_AT = 1.0
HEALED_AT = 7.0
ENDED_AT = 9.0
#: Seconds after a change from which calls are counted.
SETTLED = 1.0
#: Difference of the shares served that is tolerated.
TOLERANCE = 0.05


@pytest.fixture(scope='module')
def site(tmp_path_factory: pytest.TempPathFactory) -> Iterator[CuttableSite]:
    """Start instances in two zones for the tests of this module."""
    with start_cuttable_site(tmp_path_factory.mktemp('site'), ZONES) as started:
        yield started


def apply_cut(site: CuttableSite, instances: frozenset[str], cut: Cut) -> Load:
    """Cut instances from all endpoints in the midst of a load."""
    return site.apply_load(
        ENDED_AT,
        RATE,
        actions={
            CUT_AT: lambda: site.cut(instances, cut),
            HEALED_AT: site.heal,
        },
    )


def measure_served(
    load: Load, instances: frozenset[str], since: float, until: float
) -> float:
    """Measure the share of the first attempts that was served."""
    calls = load.select(instances, since, until)
    return sum(sent.served for sent in calls) / len(calls)


@pytest.mark.parametrize('cut', list(Cut))
@pytest.mark.parametrize(
    'instances',
    [
        frozenset(('edge-1',)),
        frozenset(('edge-1', 'edge-3')),
        frozenset(('edge-1', 'edge-2', 'edge-3')),
    ],
    ids=['one', 'zone', 'most'],
)
def test_a_cut_instance_serves_as_many_first_attempts_as_the_others(
    site: CuttableSite,
    instances: frozenset[str],
    cut: Cut,
) -> None:
    """An instance that reaches no endpoint keeps callers until they leave."""
    load = apply_cut(site, instances, cut)
    span = (CUT_AT + SETTLED, HEALED_AT)
    at_cut = measure_served(load, instances, *span)
    at_others = measure_served(load, ALL - instances, *span)
    assert at_others >= 1 - TOLERANCE
    assert at_cut >= at_others - TOLERANCE
    assert measure_served(load, ALL, HEALED_AT + SETTLED, ENDED_AT) == 1
