"""What hosts get that are no instances of the site."""

from collections.abc import Iterator
from http import client

import pytest

from testbed.routed import KEY, RoutedSite, start_routed_site, wait_for
from tests.ingress.callers import call

_PEER_PORT = 7340


@pytest.fixture(scope='module')
def site(tmp_path_factory: pytest.TempPathFactory) -> Iterator[RoutedSite]:
    """Start two instances in two zones."""
    with start_routed_site(tmp_path_factory.mktemp('site'), 0) as started:
        started.start_instance('edge-1', 'zone-a')
        started.start_instance('edge-2', 'zone-b')
        yield started


def fetch(site: RoutedSite, table: str, origin: str) -> tuple[int, bytes]:
    """Fetch a table from the first instance, from an IP number."""
    host = site.instances[0].caller.split(':')[0]
    connection = client.HTTPConnection(
        host, _PEER_PORT, timeout=5, source_address=(origin, 0)
    )
    connection.request('GET', f'/tables/{table}')
    response = connection.getresponse()
    received = response.read()
    connection.close()
    return response.status, received


@pytest.mark.parametrize('table', ['op', 'servers'])
def test_a_stranger_gets_no_table(site: RoutedSite, table: str) -> None:
    """The keys of all callers were served to any host."""
    status, received = fetch(site, table, '127.0.0.1')
    assert status == 403
    assert not received
    wait_for(
        lambda: any(
            line['event'] == 'table_refused'
            for line in site.instances[0].log_lines
        ),
        'the refusal to be logged',
    )


def test_an_instance_gets_the_tables(site: RoutedSite) -> None:
    """An instance that no one serves would read the store for itself."""
    origin = site.instances[1].caller.split(':')[0]
    wait_for(
        lambda: fetch(site, 'op', origin)[0] == 200, 'the first table to come'
    )
    site.put_configuration((KEY, 'another'))
    wait_for(
        lambda: (
            call(site.instances[1], '/lookups/x', X_Api_Key='another').status
            == 200
        ),
        'the new key to be known',
    )
