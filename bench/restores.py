"""What a store that returns from a copy costs callers, on a small site.

``python -m bench.restores`` plays each scenario with six instances in two
zones, eight endpoints and some 60 calls per second, and prints the share of
calls with a sound key that are answered from the return of the store on, the
seconds until news is in force everywhere, and the calls to the store.
"""

import pathlib
import tempfile
import threading
import time

import attrs

from testbed.calls import call_control
from testbed.routed import RoutedSite, start_routed_site
from tests.ingress.callers import call

_INSTANCES = 6
_CALLS_PER_SECOND = 60
_COPY_SECONDS = 1.0
_AWAY_SECONDS = 1.5
_WATCHED_SECONDS = 8.0
_AWAY = 503
_OK = 200


@attrs.frozen
class Scenario:
    """What differs between the restorations that are played.

    Attributes
    ----------
    name
        Printed name.
    copied
        Whether the store returns from a copy, not from an outage alone.
    away
        Seconds for which it is away.
    rewritten_after
        Seconds from its return until what was lost is written again.
    ahead
        How far versions are past the lost ones then; ``None`` for behind.
    """

    name: str
    copied: bool = True
    away: float = _AWAY_SECONDS
    rewritten_after: float = 0
    ahead: int | None = None


_SCENARIOS = (
    Scenario('outage, no copy', copied=False),
    Scenario('written again at once'),
    Scenario('versions past the lost ones', ahead=4),
    Scenario('versions at the lost ones', ahead=0),
    Scenario('written again after 3 s', rewritten_after=3),
    Scenario('away for 0.1 s', away=0.1),
)


class _Callers:
    """Sends calls to all instances, and counts their statuses."""

    def __init__(self, site: RoutedSite) -> None:
        self._site = site
        self._stopped = threading.Event()
        self.outcomes: list[tuple[float, int]] = []

    def run(self) -> None:
        """Send calls until stopped, each from a thread of its own."""
        threads: list[threading.Thread] = []
        number = 0
        while not self._stopped.wait(1 / _CALLS_PER_SECOND):
            number += 1
            call_thread = threading.Thread(target=self._send, args=(number,))
            call_thread.start()
            threads.append(call_thread)
        for thread in threads:
            thread.join()

    def stop(self) -> None:
        """Send no more."""
        self._stopped.set()

    def _send(self, number: int) -> None:
        instances = self._site.instances
        answer = call(instances[number % len(instances)], '/lookups/x')
        self.outcomes.append((time.monotonic(), answer.status))


def _play(site: RoutedSite, scenario: Scenario) -> str:
    callers = _Callers(site)
    sending = threading.Thread(target=callers.run)
    sending.start()
    time.sleep(1)
    site.copy_store()
    _report_all(site, 3)
    site.put_configuration()
    time.sleep(_COPY_SECONDS)
    site.set_store_faults(status=_AWAY)
    restored = site.restore_store() if scenario.copied else None
    time.sleep(scenario.away)
    returned = time.monotonic()
    before = _count_store_calls(site)
    if scenario.rewritten_after:
        site.set_store_faults()
        time.sleep(scenario.rewritten_after)
    _write_again(site, scenario, restored)
    site.set_store_faults()
    time.sleep(0.5)
    news = _measure_news(site)
    time.sleep(max(0, returned + _WATCHED_SECONDS - time.monotonic()))
    callers.stop()
    sending.join()
    later = [status for at, status in callers.outcomes if at > returned]
    answered = sum(status == _OK for status in later)
    calls = _count_store_calls(site) - before
    return f'{answered:5} of {len(later):4}  {news:5.2f} s  {calls:4} calls'


def _report_all(site: RoutedSite, reports: int) -> None:
    for _ in range(reports):
        for name in site.endpoints:
            site.report_endpoint(name)


def _write_again(
    site: RoutedSite, scenario: Scenario, restored: dict[str, int] | None
) -> None:
    site.write_configuration_again()
    _report_all(site, 1)
    if restored is None or scenario.ahead is None:
        return
    written = restored['version'] + 1 + len(site.endpoints)
    for _ in range(restored['lost'] + scenario.ahead - written):
        site.put_row('others', 'row', {})


def _measure_news(site: RoutedSite) -> float:
    """Return the seconds until a configuration is in force everywhere."""
    began = time.monotonic()
    version = site.put_configuration()
    while time.monotonic() - began < _WATCHED_SECONDS:
        if all(item.dump()['version'] == version for item in site.instances):
            break
        time.sleep(0.02)
    return time.monotonic() - began


def _count_store_calls(site: RoutedSite) -> int:
    return sum(call_control(site.store, 'GET', '/control/calls').values())


def main() -> None:
    """Play all scenarios, each on a site of its own."""
    for scenario in _SCENARIOS:
        directory = pathlib.Path(tempfile.mkdtemp(prefix='kelproad-restores-'))
        with start_routed_site(directory, 0) as site:
            for name in ('book-3', 'book-4', 'engine-4'):
                service = 'book' if name.startswith('book') else 'writer'
                site.start_endpoint(name, service)
            for number in range(_INSTANCES):
                site.start_instance(f'edge-{number}', f'zone-{number % 2}')
            print(f'{scenario.name:30} {_play(site, scenario)}')


if __name__ == '__main__':
    main()
