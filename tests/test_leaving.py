"""An endpoint that is leaving gets no new work after three seconds."""

import threading
import time
from collections.abc import Iterator

import pytest
import yaml

from kelproad.standins.texts import compose_answer
from testbed.network import PLATFORM
from testbed.site import Site, SitePlan, start_site
from tests.clients import complete
from tests.conftest import ROADGRIP
from tests.engines import OpenStream

#: Seconds after which a leaving endpoint may get no new work.
LIMIT = 3.0
OBSERVED = 2.0
TOKENS = 250
#: Seconds in which every engine of a zone has had work under steady load.
WORK_SECONDS = 15.0


@pytest.fixture(scope='module')
def site(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Site]:
    plan = SitePlan(
        example=ROADGRIP,
        endpoints_per_group=6,
        network=True,
        engine_settings={'time_scale': 1.0},
    )
    with start_site(plan, tmp_path_factory.mktemp('leaving')) as started:
        yield started


class SteadyLoad:
    """Short completions, one after another, at some instances."""

    def __init__(self, callers: list[str]) -> None:
        """Send to the callers' addresses."""
        self.statuses: list[int] = []
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._send, args=(caller,))
            for caller in callers
            for _ in range(2)
        ]

    def __enter__(self) -> 'SteadyLoad':
        """Start sending."""
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_error: object) -> None:
        """Stop sending."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def _send(self, caller: str) -> None:
        while not self._stopped.is_set():
            self.statuses.append(complete(caller, max_tokens=1).status)


def list_times(site: Site, name: str) -> list[float]:
    return site.control(site.addresses[name], 'GET', '/control/times')


def check_left(site: Site, names: list[str], told: dict[str, float]) -> None:
    """Check that engines had work before they were told, and none later."""
    for name in names:
        times = list_times(site, name)
        after = [at - told[name] for at in times if at > told[name]]
        assert len(times) > len(after), f'{name} had no work at all'
        late = [at for at in after if at > LIMIT]
        assert not late, f'{name} had new work {late}'


def wait_for_work(site: Site, names: list[str]) -> None:
    """Wait until each engine has had work."""
    limit = time.monotonic() + WORK_SECONDS
    while not all(list_times(site, name) for name in names):
        assert time.monotonic() < limit, 'no work for an engine'
        time.sleep(0.1)


def find_busy(site: Site, names: list[str]) -> set[str]:
    return {
        name
        for name in names
        if site.control(site.addresses[name], 'GET', '/v1/held')['held']
    }


def test_leaving_by_list_word_and_configuration(site: Site) -> None:
    """Three engines leave at once, each by another way, under steady load.

    The platform lists one, one says so itself, one is marked in a file.  None
    of them gets work three seconds later, and what runs there ends whole.
    """
    listed, saying, marked = (f'report-{zone}-1' for zone in site.zones)
    names = [listed, saying, marked]
    streams = []
    while find_busy(site, names) != set(names):
        streams += [
            OpenStream(caller, 'leaving', max_tokens=TOKENS)
            for caller in site.callers
        ]
    assert {stream.response.status for stream in streams} == {200}
    told = {}
    with SteadyLoad(site.callers) as load:
        time.sleep(1)
        told[listed] = time.time()
        site.control(site.platform_address, 'PUT', f'/control/leaving/{listed}')
        told[saying] = time.time()
        site.control(site.addresses[saying], 'PUT', '/control/leaving')
        mark_leaving(site, marked)
        told[marked] = time.time()
        time.sleep(LIMIT + OBSERVED)
    check_left(site, names, told)
    assert set(load.statuses) == {200}
    for stream in streams:
        stream.read()
        assert stream.done
        assert stream.text == compose_answer('leaving', TOKENS)


def test_leaving_in_zones_that_are_cut_off(site: Site) -> None:
    """One zone loses the platform, another one loses everything.

    The platform takes an engine of the first away: the third zone hears it
    and passes it on.  An engine of the second says itself that it leaves; it
    is the last one there, so callers may hear that there is none.
    """
    listed, saying = (f'report-{zone}-2' for zone in site.zones[:2])
    site.network.cut(
        *((zone, PLATFORM) for zone in site.zones[:2]),
        *((site.zones[1], zone) for zone in (site.zones[0], site.zones[2])),
        # Bytes held back would reach an engine when the cut heals, whatever
        # their sender has learnt since.
        mode='break',
    )
    with SteadyLoad(site.callers[:2]) as load:
        # On a busy machine a second brings too few calls for all engines.
        wait_for_work(site, [listed, saying])
        told = {name: time.time() for name in (listed, saying)}
        site.control(site.platform_address, 'PUT', f'/control/leaving/{listed}')
        site.control(site.addresses[saying], 'PUT', '/control/leaving')
        time.sleep(LIMIT + OBSERVED)
    # The second zone could not hear of the first one's engine, and would try
    # it as soon as it is reached again, until it hears.
    site.network.heal()
    check_left(site, [listed, saying], told)
    assert 200 in load.statuses


def mark_leaving(site: Site, name: str) -> None:
    """Apply the endpoints' file with one endpoint marked as leaving."""
    path = next(path for path in site.files if 'endpoints' in path.name)
    content = yaml.safe_load(path.read_text())
    for group in content['endpoint_groups']:
        for endpoint in group['endpoints']:
            endpoint['leaving'] = endpoint['name'] == name
    path.write_text(yaml.safe_dump(content, sort_keys=False))
    site.apply(path)
