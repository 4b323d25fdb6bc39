"""A routed site whose engines crash, are restarted, and crash again."""

import contextlib
import itertools
import json
import pathlib
import random
import threading
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from http import client
from urllib.error import URLError

import attrs

from testbed.routed import (
    HOST,
    KEY,
    RoutedSite,
    name_instances,
    start_instances,
    start_routed_site,
)

__all__ = ['CrashingSite', 'Crashes', 'Stream', 'start_crashing_site']

_CALLERS = 96
_OK = 200
_DEADLINE = 4.0
#: Seconds after a crash after which an engine is back, under a new id.
_RESTART_SECONDS = 3.0
_POLL_SECONDS = 0.05
_SERVICE = 'writer'


@attrs.frozen
class Stream:
    """A kind of streams: the path, and the shared parts of each prompt.

    ``make_parts`` gets a number that is different for each request; one without
    it has no prompt.  Callers send a request ``tries`` times, each at once
    after the one before failed, with an id of its own; they leave when nothing
    comes for ``patience`` seconds, and wait for ``deadline`` seconds in all.
    """

    path: str
    make_parts: Callable[[int], tuple[str, ...]] | None
    rate: float
    key: str = KEY
    tries: int = 1
    patience: float = _DEADLINE
    deadline: float = _DEADLINE


@attrs.frozen
class SentStream:
    """One try of a stream and its end, at monotonic times; 0 for no status.

    ``number`` is that of the request.
    """

    kind: Stream
    number: int
    request_id: str
    instance: str
    at: float
    ended_at: float
    status: int
    whole: bool
    retry_after: str = ''

    @property
    def served(self) -> bool:
        """Whether it was answered whole."""
        return self.whole and self.status == _OK


@attrs.frozen
class Crashes:
    """What engines reported: monotonic times of crashes and arrivals.

    ``arrivals`` are those of poisoned requests, by request id.
    """

    crashed_at: list[float]
    arrivals: list[tuple[float, str]]

    def count_arrivals(self, since: float) -> int:
        """Count the poisoned requests that reached engines from a time on."""
        return sum(at >= since for at, _ in self.arrivals)


class CrashingSite:
    """A site with engines that are restarted after they crash."""

    def __init__(self, site: RoutedSite) -> None:
        """Watch the engines of a site; ``start`` begins with that."""
        self.site = site
        self._lives = itertools.count(1)
        self._ids = itertools.count(1)
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._restart_crashed)
        self._logs: list[pathlib.Path] = []
        #: Engines that are down, and the monotonic times of their restarts.
        self._down: dict[str, float] = {}
        #: Engines that have started, those that are down included.
        self._serving: list[str] = []

    def start(self, engines: int) -> None:
        """Start engines, and restart them after crashes from now on."""
        for _ in range(engines):
            self._start_engine()
        self._thread.start()

    def stop(self) -> None:
        """Restart no engine any more."""
        self._stopped.set()
        self._thread.join()

    def apply_faults(self, **faults: object) -> None:
        """Set the faults of all engines, of later ones too."""
        self.site.lasting_faults = faults
        for name in self._list_running():
            # One that has just crashed gets them as it is restarted.
            with contextlib.suppress(URLError):
                self.site.set_endpoint_faults(name)

    def kill_engine(self, generator: random.Random) -> None:
        """Kill an engine, as one that crashes by itself."""
        name = generator.choice(self._list_running())
        self.site.endpoint_processes[name].kill()

    def await_all(self) -> None:
        """Wait until no engine is down."""
        time.sleep(2 * _POLL_SECONDS)
        while self._down:
            time.sleep(_POLL_SECONDS)

    def read_crashes(self, since: float) -> Crashes:
        """Read what engines reported since a monotonic time."""
        lines = [
            json.loads(line)
            for log in self._logs
            for line in log.read_text().splitlines()
            if line.startswith('{"event"')
        ]
        recent = [line for line in lines if line['at'] >= since]
        return Crashes(
            sorted(line['at'] for line in recent if line['event'] == 'crashed'),
            sorted(
                (line['at'], line['request'])
                for line in recent
                if line['event'] == 'poisoned'
            ),
        )

    def apply_load(
        self,
        seconds: float,
        kinds: tuple[Stream, ...],
        actions: dict[float, Callable[[], None]] | None = None,
    ) -> list[SentStream]:
        """Send streams of some kinds at their rates to all instances in turn.

        ``actions`` are done meanwhile, by seconds from the begin.
        """
        began = time.monotonic()
        due = sorted(
            (number / kind.rate, order, kind)
            for order, kind in enumerate(kinds)
            for number in range(int(seconds * kind.rate))
        )
        pending = sorted((actions or {}).items())
        with ThreadPoolExecutor(_CALLERS) as pool:
            waiting = []
            for at, _, kind in due:
                while pending and pending[0][0] <= at:
                    pool.submit(pending.pop(0)[1])
                time.sleep(max(0, began + at - time.monotonic()))
                request = next(self._ids)
                waiting.append(pool.submit(self._send_all, kind, request))
            return [sent for item in waiting for sent in item.result()]

    def send(self, kind: Stream, number: int, attempt: int) -> SentStream:
        """Send a request to an instance, the next one with each attempt."""
        instances = self.site.instances
        instance = instances[(number + attempt) % len(instances)]
        request_id = f'd{attempt:03x}{number:012x}'
        headers = {
            'Host': HOST,
            'X-Kelproad-Request-Id': request_id,
            'X-Kelproad-Deadline-Ms': str(int(kind.deadline * 1000)),
            'X-Api-Key': kind.key,
            **_build_prompt_fields(kind, number),
        }
        sent_at = time.monotonic()
        connection = client.HTTPConnection(
            instance.caller, timeout=kind.patience
        )
        status, whole, retry_after = 0, False, ''
        body = f'prompt {number}'.encode()
        with contextlib.suppress(OSError, client.HTTPException):
            connection.request('POST', kind.path, body, headers)
            response = connection.getresponse()
            status = response.status
            retry_after = response.headers.get('Retry-After', '')
            response.read()
            whole = True
        connection.close()
        return SentStream(
            kind,
            number,
            request_id,
            instance.name,
            sent_at,
            time.monotonic(),
            status,
            whole,
            retry_after,
        )

    def _send_all(self, kind: Stream, number: int) -> list[SentStream]:
        """Send a request again until it is served, or all tries are used."""
        sent: list[SentStream] = []
        while len(sent) < kind.tries and not (sent and sent[-1].served):
            sent.append(self.send(kind, number, len(sent)))
        return sent

    def _list_running(self) -> list[str]:
        return [name for name in self._serving if name not in self._down]

    def _start_engine(self, address: str = '') -> None:
        """Start an engine under a new id, at a new address or that of another.

        It gets calls only once it has its faults.
        """
        life = next(self._lives)
        name = f'{_SERVICE}-{life}'
        self.site.born[name] = life
        if address:
            self.site.endpoints[name] = address
            self.site.restart_endpoint(name)
        else:
            self.site.start_endpoint(name, _SERVICE)
        self._logs.append(self.site.endpoint_processes[name].log)
        self.site.set_endpoint_faults(name)
        self.site.put_endpoint_row(name, _SERVICE)
        self._serving.append(name)

    def _restart_crashed(self) -> None:
        while not self._stopped.wait(_POLL_SECONDS):
            for name in self._list_running():
                if self._is_down(name):
                    self._down[name] = time.monotonic() + _RESTART_SECONDS
            for name, due_at in list(self._down.items()):
                if due_at <= time.monotonic():
                    self._replace(name)

    def _is_down(self, name: str) -> bool:
        process = self.site.endpoint_processes[name]
        return not process.running or b'"crashed"' in process.log.read_bytes()

    def _replace(self, name: str) -> None:
        """Replace an engine by one with a new id at the same address."""
        self._serving.remove(name)
        self.site.endpoint_processes[name].kill()
        self.site.delete_endpoint_row(name)
        address = self.site.endpoints.pop(name)
        self._start_engine(address)
        self._down.pop(name)


def _build_prompt_fields(kind: Stream, number: int) -> dict[str, str]:
    """Build the fields of a prompt, whose last part only its request has."""
    if kind.make_parts is None:
        return {}
    parts = (*kind.make_parts(number), f'own-{number}')
    listed = ','.join(f'{part}:20' for part in parts)
    return {
        'X-Kelproad-Token-Count': '100,50',
        'X-Kelproad-Prompt-Prefix': listed,
    }


@contextlib.contextmanager
def start_crashing_site(
    directory: pathlib.Path, zones: str, engines: int
) -> Iterator[CrashingSite]:
    """Run a site with an instance for each letter, which names its zone."""
    with start_routed_site(directory, 0) as site:
        for name in ('engine-1', 'engine-2', 'engine-3'):
            site.endpoint_processes[name].kill()
            site.delete_endpoint_row(name)
            site.endpoints.pop(name)
        crashing = CrashingSite(site)
        crashing.start(engines)
        try:
            start_instances(site, name_instances(zones))
            yield crashing
        finally:
            crashing.stop()
