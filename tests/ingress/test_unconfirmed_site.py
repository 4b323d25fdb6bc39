"""What a site tells of a store that confirms nothing."""

import json
import pathlib
import time
from collections.abc import Iterator

import pytest

from testbed.routed import RoutedSite, start_routed_site, wait_for
from tests.ingress.callers import call

#: Seconds after which no key is trusted any more.
TRUSTED = 4.5
UNAVAILABLE = 503


@pytest.fixture(scope='module')
def directory(tmp_path_factory: pytest.TempPathFactory) -> pathlib.Path:
    """Return the directory of the site's logs."""
    return tmp_path_factory.mktemp('site')


@pytest.fixture(scope='module')
def site(directory: pathlib.Path) -> Iterator[RoutedSite]:
    """Run a site of two instances."""
    with start_routed_site(directory, 2) as running:
        yield running


def list_causes(
    directory: pathlib.Path, event: str, since: float
) -> dict[str, list[str]]:
    """List the causes that each instance has told of with an event."""
    causes: dict[str, list[str]] = {}
    for path in directory.glob('edge-*.log'):
        for line in path.read_text().splitlines():
            _, brace, text = line.partition('{')
            fields = json.loads(brace + text) if brace else {}
            if fields.get('event') == event and fields['time'] >= since:
                causes.setdefault(path.stem, []).append(fields['cause'])
    return causes


@pytest.mark.parametrize(
    ('faults', 'cause'),
    [({'hang': True}, 'store_silent'), ({'status': 503}, 'store_refuses')],
)
def test_a_refusal_tells_how_the_store_is(
    site: RoutedSite,
    directory: pathlib.Path,
    faults: dict[str, object],
    cause: str,
) -> None:
    """Guards against refusals by which causes can't be told apart."""
    began = time.time()
    site.set_store_faults(**faults)
    wait_for(
        lambda: all(
            instance.dump()['age'] > TRUSTED for instance in site.instances
        ),
        'no instance trusts keys',
    )
    for instance in site.instances:
        assert call(instance, '/book/x').status == UNAVAILABLE
        assert instance.dump()['confirmation']['cause'] == cause
    site.set_store_faults()
    told = {instance.name: [cause] for instance in site.instances}

    def have_told_the_end() -> bool:
        ended = list_causes(directory, 'configuration_confirmed', began)
        return {name: ended.get(name, [])[-1:] for name in told} == told

    wait_for(have_told_the_end, 'each instance tells of the end')
    assert list_causes(directory, 'refused', began) == told
    changes = list_causes(directory, 'configuration_unconfirmed', began)
    assert {name: changes[name][-1:] for name in told} == told
