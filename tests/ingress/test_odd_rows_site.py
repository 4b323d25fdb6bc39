"""Rows of other writers that can't be decoded, beside those of a site."""

import json
import time
from collections.abc import Iterator

import pytest

from testbed.routed import RoutedSite, start_routed_site, wait_for
from tests.ingress.callers import call

#: Seconds in which a configuration must be in force, from the settings.
APPLY_SECONDS = 2.0
OK = 200
DEEP = b'[' * 100_000 + b']' * 100_000
NESTED = b'{"x":%b}' % DEEP


def encode_entry(**fields: object) -> bytes:
    """Encode the entry of an endpoint, sound but for some fields."""
    sound = {
        'service': 'book',
        'address': '127.0.0.1:9',
        'zone': 'zone-a',
        'state': 'ready',
        'sequence': 1,
    }
    return json.dumps({**sound, **fields}).encode()


@pytest.fixture(scope='module')
def site(tmp_path_factory: pytest.TempPathFactory) -> Iterator[RoutedSite]:
    """Run a site of two instances, into whose store anybody writes."""
    with start_routed_site(tmp_path_factory.mktemp('site'), 2) as running:
        yield running


@pytest.mark.parametrize(
    ('table', 'key', 'content'),
    [
        ('servers', 'odd-nested', NESTED),
        ('servers', 'odd-field', encode_entry()[:-1] + b',"x":%b}' % DEEP),
        (
            'servers',
            'odd-port',
            encode_entry(address=f'127.0.0.1:{"9" * 5000}'),
        ),
        (
            'servers',
            'odd-zeros',
            encode_entry(address=f'127.0.0.1:{"0" * 5000}80'),
        ),
        ('servers', 'odd-slots', encode_entry(slots=2**80)),
        ('servers', 'odd-born', encode_entry(born=-1)),
        ('op', 'evacuate/zone-q', NESTED),
        ('kelproad_instances', 'odd', NESTED),
    ],
)
def test_news_arrive_beside_a_row_that_cannot_be_decoded(
    site: RoutedSite, table: str, key: str, content: bytes
) -> None:
    """Guards against a row that ends the task which follows its table."""
    site.put_row(table, key, content)
    time.sleep(1)
    began = time.monotonic()
    name = f'added-{key.replace("/", "-")}'
    version = site.put_configuration(**{name: {'service': 'book'}})
    wait_for(
        lambda: all(
            instance.dump()['version'] == version for instance in site.instances
        ),
        'the configuration is in force',
    )
    assert time.monotonic() - began < APPLY_SECONDS
    for instance in site.instances:
        assert call(instance, f'/{name}/x').status == OK
        assert key not in instance.dump()['endpoints']
