"""A routed site whose instances can be cut from endpoints, and calls to it."""

import asyncio
import contextlib
import itertools
import pathlib
import threading
import time
from collections.abc import Callable, Iterable, Iterator
from concurrent.futures import ThreadPoolExecutor
from http import client

import attrs

from testbed.routed import (
    HOST,
    KEY,
    RoutedInstance,
    RoutedSite,
    name_instances,
    start_instances,
    start_routed_site,
)
from testbed.soak.links import Cut, Link, LinkFault

__all__ = ['CuttableSite', 'Load', 'SentCall', 'start_cuttable_site']

_CALLERS = 64
_OK = 200
_MILLISECONDS = 1000.0


@attrs.frozen
class Kind:
    """A kind of calls; ``deadline`` is in seconds."""

    method: str
    path: str
    deadline: float
    tokens: str = ''


LOOKUP = Kind('GET', '/brisk/x', deadline=1)
BOOKING = Kind('POST', '/brisk-bookings/x', deadline=1)
REPORT = Kind('POST', '/reports/x', deadline=2, tokens='100,50')
KINDS = (REPORT, LOOKUP, REPORT, BOOKING, REPORT, LOOKUP)


@attrs.frozen
class SentCall:
    """A first attempt of a caller and what came of it.

    ``at`` is in seconds from the begin of the load; ``status`` is 0 when no
    complete answer came within the deadline.
    """

    request_id: str
    kind: Kind
    instance: str
    at: float
    status: int
    seconds: float

    @property
    def served(self) -> bool:
        """Whether it was answered in time."""
        return self.status == _OK


@attrs.frozen
class Load:
    """The calls of a load."""

    calls: list[SentCall]

    def select(
        self, instances: Iterable[str], since: float, until: float
    ) -> list[SentCall]:
        """Select the calls at some instances in a span of the load."""
        names = set(instances)
        return [
            sent
            for sent in self.calls
            if sent.instance in names and since <= sent.at < until
        ]


class CuttableSite:
    """A site with a link in front of each endpoint."""

    def __init__(self, site: RoutedSite) -> None:
        """Run the links in a thread of their own."""
        self.site = site
        self._links: dict[str, Link] = {}
        #: Links to the store, by instance.
        self._store_links: dict[str, Link] = {}
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever)
        self._thread.start()
        self._ids = itertools.count(1)

    def open_links(self) -> None:
        """Open the links and let the endpoints advertise them."""
        for name, address in self.site.endpoints.items():
            link = Link(name, address)
            asyncio.run_coroutine_threadsafe(link.open(), self._loop).result()
            self._links[name] = link
            self.site.advertised_addresses[name] = link.address
            service = 'book' if name.startswith('book') else 'writer'
            self.site.put_endpoint_row(name, service)

    def open_store_links(self, instances: Iterable[str]) -> dict[str, str]:
        """Open a link to the store for each instance; return the addresses."""
        for name in instances:
            link = Link(f'store of {name}', self.site.store)
            asyncio.run_coroutine_threadsafe(link.open(), self._loop).result()
            self._store_links[name] = link
        return {name: link.address for name, link in self._store_links.items()}

    def harm_store_link(self, instance: str, harm: LinkFault) -> None:
        """Set the fault of the link between an instance and the store."""
        self._run(lambda: self._store_links[instance].harm(harm))

    def close(self) -> None:
        """Close the links and end their thread."""
        links = [*self._links.values(), *self._store_links.values()]
        self._run(lambda: [link.close() for link in links])
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def cut(
        self,
        instances: Iterable[str],
        cut: Cut,
        endpoints: Iterable[str] | None = None,
    ) -> None:
        """Cut instances from some endpoints, or from all of them."""
        hosts = frozenset(
            instance.caller.split(':')[0]
            for instance in self.site.instances
            if instance.name in set(instances)
        )
        names = self._links if endpoints is None else endpoints
        links = [self._links[name] for name in names]
        self._run(lambda: [link.cut_from(hosts, cut) for link in links])

    def heal(self) -> None:
        """End all cuts."""
        self._run(lambda: [link.end_cut() for link in self._links.values()])

    def apply_load(
        self,
        seconds: float,
        rate: float,
        kinds: tuple[Kind, ...] = KINDS,
        actions: dict[float, Callable[[], None]] | None = None,
    ) -> Load:
        """Send calls at a fixed rate to all instances in turn.

        Parameters
        ----------
        seconds, rate
            Duration, and calls per second.
        kinds
            Kinds of calls, sent in turn at each instance.
        actions
            What to do meanwhile, by seconds from the begin.
        """
        began = time.monotonic()
        instances = list(self.site.instances)
        pending = sorted((actions or {}).items())
        with ThreadPoolExecutor(_CALLERS) as pool:
            waiting = []
            for number in range(int(seconds * rate)):
                at = number / rate
                while pending and pending[0][0] <= at:
                    pool.submit(pending.pop(0)[1])
                time.sleep(max(0, began + at - time.monotonic()))
                turn, position = divmod(number, len(instances))
                kind = kinds[turn % len(kinds)]
                instance = instances[position]
                waiting.append(pool.submit(self._call, instance, kind, began))
            return Load([item.result() for item in waiting])

    def _call(
        self, instance: RoutedInstance, kind: Kind, began: float
    ) -> SentCall:
        request_id = f'c{next(self._ids):015x}'
        headers = {
            'Host': HOST,
            'X-Kelproad-Request-Id': request_id,
            'X-Kelproad-Deadline-Ms': str(int(kind.deadline * _MILLISECONDS)),
            'X-Api-Key': KEY,
        }
        if kind.tokens:
            headers['X-Kelproad-Token-Count'] = kind.tokens
        sent_at = time.monotonic()
        connection = client.HTTPConnection(
            instance.caller, timeout=kind.deadline
        )
        status = 0
        with contextlib.suppress(OSError, client.HTTPException):
            connection.request(kind.method, kind.path, b'prompt', headers)
            response = connection.getresponse()
            response.read()
            status = response.status
        connection.close()
        seconds = time.monotonic() - sent_at
        return SentCall(
            request_id,
            kind,
            instance.name,
            sent_at - began,
            status if seconds <= kind.deadline else 0,
            seconds,
        )

    def _run(self, action: Callable[[], object]) -> None:
        async def run() -> None:  # noqa: WPS430  closure
            action()

        asyncio.run_coroutine_threadsafe(run(), self._loop).result()


@contextlib.contextmanager
def start_cuttable_site(
    directory: pathlib.Path, zones: str
) -> Iterator[CuttableSite]:
    """Run a site with an instance for each letter, which names its zone."""
    with start_routed_site(directory, 0) as site:
        cuttable = CuttableSite(site)
        try:
            cuttable.open_links()
            names = name_instances(zones)
            stores = cuttable.open_store_links(names)
            start_instances(site, names, stores)
            yield cuttable
        finally:
            cuttable.close()
