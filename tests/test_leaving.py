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
#: Seconds past the limit during which late work would be seen.
OBSERVED_SECONDS = 2.0
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
    """Short completions from two threads for each caller address."""

    def __init__(self, callers: list[str]) -> None:
        """Prepare the threads without starting them."""
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


def list_work_times(site: Site, name: str) -> list[float]:
    return site.control(site.addresses[name], 'GET', '/control/times')


def check_no_late_work(
    site: Site, names: list[str], left_at: dict[str, float]
) -> None:
    """Check that engines had work, but none later than the limit."""
    for name in names:
        times = list_work_times(site, name)
        after = [at - left_at[name] for at in times if at > left_at[name]]
        assert len(times) > len(after), f'{name} had no work at all'
        late = [at for at in after if at > LIMIT]
        assert not late, f'{name} had new work {late}'


def wait_for_work(site: Site, names: list[str]) -> None:
    """Wait until each engine has had work."""
    limit = time.monotonic() + WORK_SECONDS
    while not all(list_work_times(site, name) for name in names):
        assert time.monotonic() < limit, 'no work for an engine'
        time.sleep(0.1)


def find_busy(site: Site, names: list[str]) -> set[str]:
    return {
        name
        for name in names
        if site.control(site.addresses[name], 'GET', '/v1/held')['held']
    }


def test_leaving_by_list_report_and_configuration(site: Site) -> None:
    """Three engines leave at once under load, each announced another way.

    The platform lists one, one reports it itself, one is marked in a file.
    None of them gets work three seconds later, and their streams complete.
    """
    listed, reporting, marked = (f'report-{zone}-1' for zone in site.zones)
    names = [listed, reporting, marked]
    streams = []
    while find_busy(site, names) != set(names):
        streams += [
            OpenStream(caller, 'leaving', max_tokens=TOKENS)
            for caller in site.callers
        ]
    assert {stream.response.status for stream in streams} == {200}
    left_at = {}
    with SteadyLoad(site.callers) as load:
        time.sleep(1)
        left_at[listed] = time.time()
        site.control(site.platform_address, 'PUT', f'/control/leaving/{listed}')
        left_at[reporting] = time.time()
        site.control(site.addresses[reporting], 'PUT', '/control/leaving')
        mark_leaving(site, marked)
        left_at[marked] = time.time()
        time.sleep(LIMIT + OBSERVED_SECONDS)
    check_no_late_work(site, names, left_at)
    assert set(load.statuses) == {200}
    for stream in streams:
        stream.read()
        assert stream.done
        assert stream.text == compose_answer('leaving', TOKENS)


def test_leaving_in_zones_that_are_cut_off(site: Site) -> None:
    """One zone is cut off from the platform, another one from everything.

    The platform lists an engine of the first zone as leaving: the third zone
    learns it and forwards it.  An engine of the second reports that it leaves;
    it is the last one there, so calls may be refused for want of an engine.
    """
    listed, reporting = (f'report-{zone}-2' for zone in site.zones[:2])
    site.network.cut(
        *((zone, PLATFORM) for zone in site.zones[:2]),
        *((site.zones[1], zone) for zone in (site.zones[0], site.zones[2])),
        # Bytes held back would reach an engine when the cut heals, even if
        # their sender has learnt meanwhile that it leaves.
        mode='break',
    )
    with SteadyLoad(site.callers[:2]) as load:
        # On a busy machine one second of load does not reach all engines.
        wait_for_work(site, [listed, reporting])
        left_at = {name: time.time() for name in (listed, reporting)}
        site.control(site.platform_address, 'PUT', f'/control/leaving/{listed}')
        site.control(site.addresses[reporting], 'PUT', '/control/leaving')
        time.sleep(LIMIT + OBSERVED_SECONDS)
    # The second zone could not learn that the first one's engine leaves, and
    # may try it as soon as it can reach it, until it does.
    site.network.heal()
    check_no_late_work(site, [listed, reporting], left_at)
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
