"""Configurations and removals as a reader of the store is cut from it."""

import threading
import time
from collections.abc import Iterator

import pytest

from testbed.cuts import CuttableSite, start_cuttable_site
from testbed.routed import RoutedInstance, wait_for
from testbed.soak.links import LinkFault

#: Zones of the instances, several in each.
ZONES = 'aaaaabbbbb'
#: Seconds in which a configuration must be in force, from the settings.
APPLY_SECONDS = 2.0
#: Cuts of one reader after another.
CUTS = 3
#: Seconds after which a departed endpoint gets no more calls, from the
#: settings.
DEPART_SECONDS = 2.0
#: Seconds of a cut that meets a query, and between two of them.
BRIEF_SECONDS = 0.5
PAUSE_SECONDS = 1.2
#: Seconds after which an endpoint that is silent lapses.
LAPSE_SECONDS = 3.6


@pytest.fixture(scope='module')
def site(tmp_path_factory: pytest.TempPathFactory) -> Iterator[CuttableSite]:
    """Run instances in two zones, with a link from each to the store."""
    directory = tmp_path_factory.mktemp('site')
    with start_cuttable_site(directory, ZONES) as running:
        yield running


def find_readers(site: CuttableSite) -> list[RoutedInstance]:
    """Find the instances that read the configuration from the store."""
    return [
        instance
        for instance in site.site.instances
        if instance.dump()['tables']['op']['provenance'] == 'store'
    ]


def await_one_reader(site: CuttableSite) -> RoutedInstance:
    """Wait until one instance reads the configuration for all."""
    found: list[RoutedInstance] = []

    def is_one() -> bool:
        found.clear()
        found.extend(find_readers(site))
        return len(found) == 1

    wait_for(is_one, 'one reader for all')
    return found[0]


def await_version(site: CuttableSite, instances: list[RoutedInstance]) -> None:
    """Wait until instances have the newest configuration in force."""
    wait_for(
        lambda: all(
            instance.dump()['version'] == site.site.version
            for instance in instances
        ),
        'the newest configuration is in force',
    )


def test_news_arrive_in_time_though_all_open_connections_are_silent(
    site: CuttableSite,
) -> None:
    """Guards against one call after another on kept silent connections."""
    for _ in range(CUTS):
        await_one_reader(site)
        for instance in site.site.instances:
            site.harm_store_link(instance.name, LinkFault.OPEN_SILENT)
        began = time.monotonic()
        site.site.put_configuration()
        await_version(site, site.site.instances)
        assert time.monotonic() - began < APPLY_SECONDS


@pytest.mark.parametrize(
    'harm',
    [LinkFault.SILENT, LinkFault.ONE_WAY, LinkFault.RESET],
)
def test_news_arrive_in_time_as_their_reader_is_cut_from_the_store(
    site: CuttableSite, harm: LinkFault
) -> None:
    """Guards against a reader that relays old tables though it is cut off."""
    for _ in range(CUTS):
        reader = await_one_reader(site)
        others = [item for item in site.site.instances if item is not reader]
        site.harm_store_link(reader.name, harm)
        began = time.monotonic()
        site.site.put_configuration()
        await_version(site, others)
        elapsed = time.monotonic() - began
        site.harm_store_link(reader.name, LinkFault.NONE)
        assert elapsed < APPLY_SECONDS
        await_version(site, site.site.instances)


def list_endpoints(instance: RoutedInstance) -> set[str]:
    """List the endpoints that an instance may use."""
    return set(instance.dump()['endpoints'])


def cut_briefly(site: CuttableSite, instance: RoutedInstance) -> None:
    """Reset the connections between an instance and the store for a moment."""
    site.harm_store_link(instance.name, LinkFault.RESET)
    time.sleep(BRIEF_SECONDS)
    site.harm_store_link(instance.name, LinkFault.NONE)


def test_a_departed_endpoint_is_dropped_in_time_while_its_reader_falters(
    site: CuttableSite,
) -> None:
    """Guards against engines kept by all for what one instance could not do."""
    reader = await_one_reader(site)
    others = [item for item in site.site.instances if item is not reader]
    cut_briefly(site, reader)
    time.sleep(BRIEF_SECONDS)
    site.site.delete_endpoint_row('book-1')
    removed_at = time.monotonic()
    stop = threading.Event()

    def falter() -> None:
        while not stop.wait(PAUSE_SECONDS):
            cut_briefly(site, reader)

    faltering = threading.Thread(target=falter)
    faltering.start()
    try:
        wait_for(
            lambda: (
                not any('book-1' in list_endpoints(item) for item in others)
            ),
            'no calm instance may use the endpoint',
        )
        elapsed = time.monotonic() - removed_at
    finally:
        stop.set()
        faltering.join()
        site.site.report_endpoint('book-1')
    assert elapsed < DEPART_SECONDS


def test_endpoints_that_lapse_as_all_lose_the_store_are_kept(
    site: CuttableSite,
) -> None:
    """Guards against dropping live engines after an outage of the store."""
    instances = site.site.instances
    wait_for(
        lambda: all('book-1' in list_endpoints(item) for item in instances),
        'all may use the endpoint',
    )
    for instance in instances:
        site.harm_store_link(instance.name, LinkFault.RESET)
    time.sleep(LAPSE_SECONDS)
    site.site.delete_endpoint_row('book-1')
    for instance in instances:
        site.harm_store_link(instance.name, LinkFault.NONE)
    returned_at = time.monotonic()
    while time.monotonic() - returned_at < PAUSE_SECONDS:
        assert all('book-1' in list_endpoints(item) for item in instances)
    site.site.report_endpoint('book-1')
    while time.monotonic() - returned_at < LAPSE_SECONDS:
        assert all('book-1' in list_endpoints(item) for item in instances)
