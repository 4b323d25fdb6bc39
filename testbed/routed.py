"""A small site of the routed interface: store, endpoints and instances.

Every component is a separate process, as at a real site.  Each instance has
its own address in 127.0.0.0/8, since the metrics port is fixed.
"""

import contextlib
import itertools
import json
import pathlib
import secrets
import time
import types
from collections.abc import Callable, Iterator, Mapping

import attrs

from .calls import call_control
from .processes import Process, find_free_address, wait_until_answering

__all__ = [
    'KEY',
    'RoutedInstance',
    'RoutedSite',
    'list_rows',
    'name_instances',
    'start_endpoints',
    'start_instances',
    'start_routed_site',
    'wait_for',
]

KEY = 'key-of-crews'
HOST = 'reports.example'
_ENGINE: types.MappingProxyType[str, object] = types.MappingProxyType(
    {
        'slots': 8,
        'kv_capacity': 232_000,
        'stride': 43,
        'step_ms': 1.02,
        'read_per_s': 206_000.0,
        'pairs_per_m': 0.0138,
    },
)
#: Endpoints of each site, with their services.
_ENDPOINTS: types.MappingProxyType[str, str] = types.MappingProxyType(
    {
        'engine-1': 'writer',
        'engine-2': 'writer',
        'engine-3': 'writer',
        'book-1': 'book',
        'book-2': 'book',
    }
)
_BOUNDS = (
    'bounds.grace_s=8',
    'bounds.drain_ms=2000',
    'bounds.config_apply_ms=2000',
    'bounds.revoke_ms=5000',
    'bounds.retry_budget_ratio=0.2',
    'bounds.retry_slack=104',
)
_WAIT_TIMEOUT = 15.0
_POLL_PERIOD = 0.02
_MIN_BYTE = 20
_BYTE_COUNT = 200


@attrs.define
class RoutedInstance:
    """An instance, its addresses and its process."""

    name: str
    caller: str
    ready: str
    metrics: str
    settings: pathlib.Path
    process: Process

    @property
    def log_lines(self) -> list[dict[str, object]]:
        """JSON lines of its log so far."""
        lines = self.process.log.read_text().splitlines()
        return [json.loads(line) for line in lines if line.startswith('{')]

    def dump(self) -> dict[str, object]:
        """Read the ``/dump`` of the instance."""
        return call_control(self.metrics, 'GET', '/dump')


@attrs.define
class RoutedSite:
    """The processes of a site, and the actions of operators and endpoints."""

    directory: pathlib.Path
    store: str
    store_process: Process
    endpoints: dict[str, str] = attrs.field(factory=dict)
    #: Addresses that endpoints advertise in the store, by name, where these
    #: differ from their own because of a proxy.
    advertised_addresses: dict[str, str] = attrs.field(factory=dict)
    endpoint_processes: dict[str, Process] = attrs.field(factory=dict)
    instances: list[RoutedInstance] = attrs.field(factory=list)
    version: int = 0
    #: The newest configuration as it was written.
    configuration: dict[str, object] = attrs.field(factory=dict)
    #: Limits for callers, in the configurations that are written.
    limits: dict[str, object] = attrs.field(
        factory=lambda: {'max_body_bytes': 65_536},
    )
    #: Faults that endpoints have in addition to those that are set.
    lasting_faults: dict[str, object] = attrs.field(factory=dict)
    #: Starts of endpoints, other than the first incarnation's, by name.
    born: dict[str, int] = attrs.field(factory=dict)
    #: Zones of endpoints that are not in the first one, by name.
    zones: dict[str, str] = attrs.field(factory=dict)
    #: Services of endpoints, by name.
    services: dict[str, str] = attrs.field(factory=dict)
    _sequences: itertools.count = attrs.field(
        factory=lambda: itertools.count(1),
    )

    def put_configuration(
        self,
        keys: tuple[str, ...] = (KEY,),
        **routes: dict[str, object],
    ) -> int:
        """Write a configuration as the operator does; return its version.

        Each route is given by name, with the fields that differ from the
        default ones; ``None`` omits a route.
        """
        self.version += 1
        document = {
            'version': self.version,
            'routes': [
                _build_route(name, fields)
                for name, fields in {**_ROUTES, **routes}.items()
                if fields is not None
            ],
            'services': [
                {'name': 'writer', 'engine': dict(_ENGINE)},
                {'name': 'book'},
            ],
            'limits': dict(self.limits),
            'tenants': [{'name': 'crews', 'api_keys': list(keys)}],
        }
        self.configuration = document
        self.write_configuration_again()
        return self.version

    def write_configuration_again(self) -> None:
        """Write the newest configuration as the operator did."""
        self.put_row('op', 'config', self.configuration)

    def put_row(self, table: str, key: str, document: object) -> None:
        """Insert or replace a row of the store; bytes are its content."""
        path = f'/control/rows/{table}/{key}'
        call_control(self.store, 'PUT', path, document)

    def put_endpoint_row(
        self,
        name: str,
        service: str,
        state: str = 'ready',
        zone: str | None = None,
        born: int | None = None,
    ) -> None:
        """Write the store row of an endpoint, as the endpoint would.

        ``zone`` and ``born`` are its own unless they are given.
        """
        self.put_row(
            'servers',
            name,
            {
                'service': service,
                'address': self.advertised_addresses.get(
                    name, self.endpoints[name]
                ),
                'zone': zone or self.zones.get(name, 'zone-a'),
                'version': 'v1',
                'slots': 8,
                'state': state,
                'warmup_left_ms': 0,
                'sequence': next(self._sequences),
                'born': self.born.get(name, 1) if born is None else born,
            },
        )

    def report_endpoint(self, name: str) -> None:
        """Let an endpoint write its next report."""
        self.put_endpoint_row(name, self.services[name])

    def renew_endpoint(self, name: str, born: int) -> None:
        """Let an endpoint state and register a later incarnation.

        ``born`` is its start unless a later one was stated before.
        """
        self._begin_life(name, born)
        address = self.endpoints[name]
        call_control(address, 'PUT', '/control/born', {'born': self.born[name]})
        self.put_endpoint_row(name, self.services[name])

    def delete_endpoint_row(self, name: str) -> None:
        """Delete the store row of an endpoint."""
        call_control(self.store, 'DELETE', f'/control/rows/servers/{name}')

    def set_store_faults(self, **faults: object) -> None:
        """Set the faults of the store; none ends them."""
        call_control(self.store, 'PUT', '/control/faults', faults)

    def copy_store(self) -> None:
        """Copy the store, to be restored later."""
        call_control(self.store, 'POST', '/control/copy')

    def restore_store(self) -> dict[str, int]:
        """Return the store to its copy; return its version, and the lost."""
        return call_control(self.store, 'POST', '/control/restore')

    def set_endpoint_faults(self, name: str, **faults: object) -> None:
        """Set the faults of an endpoint; none ends all but lasting ones."""
        address = self.endpoints[name]
        faults = {**self.lasting_faults, **faults}
        call_control(address, 'PUT', '/control/faults', faults)

    def set_request_limit(self, name: str, limit: str) -> None:
        """Let an endpoint state a request limit; an empty one ends it."""
        address = self.endpoints[name]
        call_control(address, 'PUT', '/control/limit', {'limit': limit})

    def set_statements(self, name: str, **statements: object) -> None:
        """Set what an endpoint states beside its limit; none ends it."""
        address = self.endpoints[name]
        call_control(address, 'PUT', '/control/statements', statements)

    def show_endpoint(self, name: str) -> dict[str, object]:
        """Return the runs and reservations of an endpoint."""
        return call_control(self.endpoints[name], 'GET', '/control/runs')

    def count_runs(self, request_id: str) -> int:
        """Count the runs of a request over all endpoints."""
        return sum(
            run.get('X-Kelproad-Request-Id') == request_id
            for name in self.endpoints
            for run in self.show_endpoint(name)['runs']
        )

    def start_endpoint(self, name: str, service: str) -> None:
        """Start an endpoint and write its store row."""
        start_endpoints(self, {name: service})

    def restart_endpoint(self, name: str) -> None:
        """Start the process of an endpoint with empty state.

        If it ran before, this is another incarnation of it.
        """
        ran_before = name in self.endpoint_processes
        if ran_before:
            self._begin_life(name, 1)
        _launch_endpoint(self, name)
        _await_endpoint(self, name)
        if ran_before:
            self.put_endpoint_row(name, self.services[name])

    def start_instance(
        self,
        name: str,
        zone: str = 'zone-a',
        store: str | None = None,
    ) -> None:
        """Start an instance and wait until it is ready.

        ``store`` is the address of a proxy to the store, if there is one.
        """
        instance = _launch_instance(self, name, zone, store or self.store)
        wait_until_answering(f'http://{instance.ready}/-/readyz')

    def restart_instance(self, instance: RoutedInstance) -> None:
        """Start an instance that has exited again."""
        instance.process = self.start_process(instance.name, instance.settings)
        wait_until_answering(f'http://{instance.ready}/-/readyz')

    def stop(self) -> None:
        """Kill every process."""
        for instance in self.instances:
            instance.process.kill()
        for process in self.endpoint_processes.values():
            process.kill()
        self.store_process.kill()

    def start_process(self, name: str, settings: pathlib.Path) -> Process:
        """Start the process of an instance with its settings."""
        return Process(
            name,
            ['serve', '--platform', '--settings', str(settings)],
            self.directory,
        )

    def _begin_life(self, name: str, born: int) -> None:
        """Choose the start of the next incarnation, later than any before."""
        self.born[name] = max(born, self.born.get(name, 1) + 1)


#: Routes of every configuration, with the fields that differ from the defaults.
_ROUTES: types.MappingProxyType[str, dict[str, object]] = (
    types.MappingProxyType(
        {
            'lookups': {'route_type': 'idempotent', 'service': 'book'},
            'bookings': {'route_type': 'non_idempotent', 'service': 'book'},
            'open': {
                'route_type': 'idempotent',
                'service': 'book',
                'anonymous': True,
            },
            'brisk': {
                'route_type': 'idempotent',
                'service': 'book',
                'target_latency_ms': 250,
            },
            'brisk-bookings': {
                'route_type': 'non_idempotent',
                'service': 'book',
                'target_latency_ms': 250,
            },
            'notes': {'route_type': 'idempotent'},
            'reports': {'route_type': 'streaming', 'stream_resume': True},
            'fragile': {'route_type': 'streaming'},
            'long-reports': {
                'route_type': 'streaming',
                'stream_resume': True,
                'timeout_ms': 12_000,
            },
            'long-fragile': {'route_type': 'streaming', 'timeout_ms': 12_000},
        },
    )
)


def _build_route(name: str, fields: dict[str, object]) -> dict[str, object]:
    service = fields.get('service', 'writer')
    return {
        'name': name,
        'host': HOST,
        'path_prefix': f'/{name}/',
        'route_type': 'idempotent',
        'timeout_ms': 5000,
        'target_latency_ms': 1000,
        'target_gap_ms': 500,
        'max_attempts': 2,
        **fields,
        'service': service,
    }


def start_endpoints(site: RoutedSite, services: Mapping[str, str]) -> None:
    """Start endpoints, side by side, and write their store rows.

    ``services`` has the service of each by its name.
    """
    for name, service in services.items():
        site.endpoints[name] = find_free_address()
        site.services[name] = service
        _launch_endpoint(site, name)
    for name, service in services.items():
        _await_endpoint(site, name)
        site.put_endpoint_row(name, service)


def start_instances(
    site: RoutedSite,
    zones: Mapping[str, str],
    stores: Mapping[str, str] | None = None,
) -> None:
    """Start instances side by side, each with a zone by its name.

    ``stores`` has addresses of proxies to the store, by instance.
    """
    launched = [
        _launch_instance(site, name, zone, (stores or {}).get(name, site.store))
        for name, zone in zones.items()
    ]
    for instance in launched:
        wait_until_answering(f'http://{instance.ready}/-/readyz')


def _launch_endpoint(site: RoutedSite, name: str) -> None:
    # A report that comes before its start was set would name another life.
    options = {
        '--address': site.endpoints[name],
        '--name': name,
        '--born': str(site.born.get(name, 1)),
    }
    site.endpoint_processes[name] = Process(
        name,
        ['stand-in', 'endpoint', *itertools.chain(*options.items())],
        site.directory,
    )


def _await_endpoint(site: RoutedSite, name: str) -> None:
    wait_until_answering(f'http://{site.endpoints[name]}/control/runs')
    if site.lasting_faults:
        site.set_endpoint_faults(name)


def _launch_instance(
    site: RoutedSite, name: str, zone: str, store: str
) -> RoutedInstance:
    host = '.'.join(('127', *(str(_choose_byte()) for _ in range(3))))
    caller = find_free_address(host)
    ready = find_free_address(host)
    settings = site.directory / f'{name}.settings'
    settings.write_text(
        '\n'.join(
            (
                f'node_name={name}',
                f'zone={zone}',
                f'ip={host}',
                f'listen.frontend={caller}',
                f'listen.ready={ready}',
                'internal_port_range=7340,7355',
                f'platform.address={store}',
                *_BOUNDS,
            ),
        ),
    )
    instance = RoutedInstance(
        name,
        caller,
        ready,
        f'{host}:9464',
        settings,
        site.start_process(name, settings),
    )
    site.instances.append(instance)
    return instance


@contextlib.contextmanager
def start_routed_site(
    directory: pathlib.Path,
    instances: int = 1,
) -> Iterator[RoutedSite]:
    """Run a site with three engines and two plain endpoints in a block."""
    store = find_free_address()
    process = Process(
        'store',
        ['stand-in', 'store', '--address', store],
        directory,
    )
    site = RoutedSite(directory, store, process)
    try:
        wait_until_answering(f'http://{store}/control/calls')
        site.put_configuration()
        start_endpoints(site, _ENDPOINTS)
        names = [f'edge-{number + 1}' for number in range(instances)]
        start_instances(site, dict.fromkeys(names, 'zone-a'))
        yield site
    finally:
        site.stop()


def name_instances(zones: str) -> dict[str, str]:
    """Name an instance for each letter, which names its zone."""
    return {
        f'edge-{number}': f'zone-{zone}'
        for number, zone in enumerate(zones, start=1)
    }


def evacuate_zone(site: RoutedSite, zone: str) -> None:
    """Order that the endpoints of a zone get no calls."""
    site.put_row('op', f'evacuate/{zone}', {})


def end_evacuation(site: RoutedSite, zone: str) -> None:
    """Take the order to evacuate a zone back."""
    path = f'/control/rows/op/evacuate/{zone}'
    call_control(site.store, 'DELETE', path)


def _choose_byte() -> int:
    """Choose one byte of an address, other than those of 127.0.0.1."""
    return _MIN_BYTE + secrets.randbelow(_BYTE_COUNT)


def wait_for(condition: Callable[[], bool], what: str) -> None:
    """Poll until a condition holds.

    Raises
    ------
    TimeoutError
        If it doesn't within ``_WAIT_TIMEOUT``.
    """
    limit = time.monotonic() + _WAIT_TIMEOUT
    while not condition():
        if time.monotonic() > limit:
            raise TimeoutError(what)
        time.sleep(_POLL_PERIOD)


def list_rows(site: RoutedSite, table: str) -> list[str]:
    """List the keys of the rows of a table of the store."""
    found = call_control(site.store, 'GET', f'/-/rows-get?table={table}')
    return [row['key'] for row in found['rows']]
