"""A site on loopback: platform, endpoints and instances of its zones."""

import collections
import contextlib
import hashlib
import pathlib
import time
from collections.abc import Iterator
from typing import Self

import attrs
import yaml

from .calls import OPERATOR_TOKEN, call_control
from .network import PLATFORM, SiteNetwork
from .processes import Process, find_free_address, wait_until_answering

__all__ = [
    'InstanceProcess',
    'Site',
    'SitePlan',
    'start_site',
]

PEER_KEY = 'a-shared-key-of-the-test-site'
_LOOPBACK = '127.0.0.1'
#: Seconds within which all instances must adopt an applied configuration.
_ADOPT_TIMEOUT = 20.0
_ADOPT_POLL = 0.05


@attrs.frozen
class SitePlan:
    """Example, sizes and settings of a site to start.

    Attributes
    ----------
    example
        Folder with the operators' files; the addresses in them are replaced
        by free loopback ones.
    instances_per_zone
        Entry instances in each zone.
    endpoints_per_group
        Maximum number of endpoints of each group; ``None`` for all.
    engine_settings
        Settings of every stand-in engine.
    instance_settings
        Settings that override those of every instance.
    group_settings
        Settings that override those of every group of engines.
    deployment_settings
        Settings that override those of the deployment.
    lag
        Seconds by which the list of instances of the platform lags.
    network
        Whether the stand-in network connects zones, endpoints and the
        platform, so that zones can be isolated.
    """

    example: pathlib.Path
    instances_per_zone: int = 1
    endpoints_per_group: int | None = None
    engine_settings: dict[str, object] = attrs.field(factory=dict)
    instance_settings: dict[str, object] = attrs.field(factory=dict)
    group_settings: dict[str, object] = attrs.field(factory=dict)
    deployment_settings: dict[str, object] = attrs.field(factory=dict)
    lag: float = 0.5
    network: bool = False


@attrs.define
class InstanceProcess:
    """An entry instance, its addresses and its process."""

    name: str
    zone: str
    caller: str
    operator: str
    peer: str
    settings: pathlib.Path
    process: Process | None = None


@attrs.define
class Site:
    """The running processes of a site."""

    directory: pathlib.Path
    platform_address: str
    plan: SitePlan
    platform: Process | None = None
    instances: list[InstanceProcess] = attrs.field(factory=list)
    endpoints: dict[str, Process] = attrs.field(factory=dict)
    addresses: dict[str, str] = attrs.field(factory=dict)
    files: list[pathlib.Path] = attrs.field(factory=list)
    zones: list[str] = attrs.field(factory=list)
    network: SiteNetwork | None = None
    #: Highest revision that an apply has returned.
    accepted: int = 0
    _contents: list[dict[str, object]] = attrs.field(factory=list)

    @classmethod
    def from_plan(cls, plan: SitePlan, directory: pathlib.Path) -> Self:
        """Create a site, not yet started, whose files go into a directory."""
        return cls(directory, find_free_address(), plan)

    @property
    def callers(self) -> list[str]:
        """Caller addresses of the instances."""
        return [instance.caller for instance in self.instances]

    def start(self) -> None:
        """Start all processes and apply the operators' files."""
        self.platform = Process(
            'platform',
            [
                'stand-in',
                'platform',
                '--address',
                self.platform_address,
                '--lag',
                str(self.plan.lag),
            ],
            self.directory,
        )
        wait_until_answering(f'http://{self.platform_address}/members')
        contents = [
            yaml.safe_load(path.read_text())
            for path in sorted(self.plan.example.glob('*.yaml'))
        ]
        self.zones = _find_zones(contents)
        if self.plan.network:
            self.network = SiteNetwork(self.zones, self.directory)
        self._write_files(contents)
        self._start_endpoints(contents)
        for zone in self.zones:
            for number in range(1, self.plan.instances_per_zone + 1):
                self.add_instance(f'{zone}-{number}', zone)
        for instance in self.instances:
            wait_until_answering(f'http://{instance.caller}/healthz')
        for path in self.files:
            self.apply(path)
        self.wait_ready()
        self.wait_adopted()

    def add_instance(self, name: str, zone: str) -> InstanceProcess:
        """Start an entry instance and register it with the platform."""
        host = self._host_of(zone)
        instance = InstanceProcess(
            name,
            zone,
            find_free_address(host),
            find_free_address(host),
            find_free_address(host),
            self.directory / f'{name}.yaml',
        )
        advertised = self._open_proxy(instance.peer, zone)
        settings = {
            'instance': name,
            'zone': zone,
            'caller_address': instance.caller,
            'operator_address': instance.operator,
            'peer_address': instance.peer,
            'peer_advertised': advertised,
            'platform_address': self._open_proxy(
                self.platform_address, PLATFORM
            ),
            'peer_key': PEER_KEY,
            'operator_digests': {'ops': _digest(OPERATOR_TOKEN)},
            'assert_invariants': True,
            'drain_grace': 0.5,
            **self.plan.instance_settings,
        }
        instance.settings.write_text(yaml.safe_dump(settings))
        self.instances.append(instance)
        self.start_instance(instance)
        listed = {'name': name, 'zone': zone, 'peer_address': advertised}
        self.control(
            self.platform_address,
            'PUT',
            f'/control/members/{name}',
            listed,
        )
        return instance

    def start_instance(self, instance: InstanceProcess) -> None:
        """Start an instance, also again after it has exited."""
        instance.process = Process(
            instance.name,
            ['serve', '--settings', str(instance.settings)],
            self.directory,
        )

    def start_endpoint(self, name: str, group: dict[str, object]) -> None:
        """Start an endpoint, also again after it has exited."""
        address = self.addresses[name]
        arguments = ['stand-in', 'service', '--address', address]
        if group['kind'] == 'engine':
            arguments = [
                'stand-in',
                'engine',
                '--address',
                address,
                '--settings',
                str(self.directory / 'engine.yaml'),
                *_repeat_option('--model', self._models_of(group['name'])),
            ]
        self.endpoints[name] = Process(name, arguments, self.directory)

    def start_endpoint_again(self, name: str) -> None:
        """Start an exited endpoint as declared, without waiting for it."""
        for content in self._contents:
            for group in content.get('endpoint_groups', []):
                if any(item['name'] == name for item in group['endpoints']):
                    self.start_endpoint(name, group)

    def apply(self, path: pathlib.Path, through: int = 0) -> dict[str, object]:
        """Apply an operators' file at the instance of index ``through``."""
        text = path.read_text()
        name = yaml.safe_load(text)['name']
        operator = self.instances[through].operator
        files = self.control(operator, 'GET', '/operator/files')['files']
        held = {item['name']: item['generation'] for item in files}
        answered = self.control(
            operator,
            'POST',
            '/operator/apply',
            {
                'text': text,
                'source': path.name,
                'base_generation': held.get(name, 0),
                'apply_id': f'{name}-{held.get(name, 0)}',
            },
        )
        self.accepted = max(self.accepted, answered['revision'])
        return answered

    def wait_ready(self) -> None:
        """Wait until every instance has some configuration."""
        for instance in self.instances:
            wait_until_answering(f'http://{instance.caller}/readyz')

    def wait_adopted(self) -> None:
        """Wait until every instance has the newest accepted configuration.

        An instance is ready with any configuration; under load each may lack
        the last file for a while, even the one that accepted it.

        Raises
        ------
        TimeoutError
            If an instance has not adopted it in ``_ADOPT_TIMEOUT``.
        """
        newest = self.accepted
        limit = time.monotonic() + _ADOPT_TIMEOUT
        while any(
            self._read_revision(instance) < newest
            for instance in self.instances
        ):
            if time.monotonic() > limit:
                raise TimeoutError(
                    f'not all instances adopted revision {newest}'
                )
            time.sleep(_ADOPT_POLL)

    def control(
        self,
        address: str,
        method: str,
        path: str,
        body: object = None,
    ) -> dict[str, object]:
        """Call an operator API, or the control API of a stand-in."""
        return call_control(address, method, path, body)

    def set_faults(self, address: str, **faults: object) -> None:
        """Set the faults of a stand-in and clear those not given."""
        self.control(address, 'PUT', '/control/faults', faults)

    def restart_endpoint(self, name: str) -> None:
        """Start an exited endpoint and wait until it responds."""
        groups = [
            group
            for content in self._contents
            for group in content.get('endpoint_groups', [])
        ]
        for group in groups:
            if name in {item['name'] for item in group['endpoints']}:
                self.start_endpoint(name, group)
        wait_until_answering(f'http://{self.addresses[name]}/v1/load')

    def stop(self) -> None:
        """Stop every process that was started."""
        processes = [
            *(instance.process for instance in self.instances),
            *self.endpoints.values(),
            self.platform,
            self.network.process if self.network else None,
        ]
        started = [process for process in processes if process is not None]
        # Instances first, so that endpoints still accept their releases.
        for instance in self.instances:
            if instance.process is not None:
                instance.process.terminate()
        for process in started:
            process.stop()

    # Files

    def _read_revision(self, instance: InstanceProcess) -> int:
        status = self.control(instance.operator, 'GET', '/operator/status')
        return status['revision']

    def _write_files(self, contents: list[dict[str, object]]) -> None:
        for number, content in enumerate(contents):
            self._localize_content(content)
            target = self.directory / f'{number}-{content["name"]}.yaml'
            target.write_text(yaml.safe_dump(content, sort_keys=False))
            self.files.append(target)
        settings = self.directory / 'engine.yaml'
        settings.write_text(yaml.safe_dump(self.plan.engine_settings))

    def _localize_content(self, content: dict[str, object]) -> None:
        content.get('deployment', {}).update(self.plan.deployment_settings)
        for group in content.get('endpoint_groups', []):
            limit = self.plan.endpoints_per_group
            if group['kind'] == 'engine':
                group.update(self.plan.group_settings)
            group['endpoints'] = group['endpoints'][:limit]
            for endpoint in group['endpoints']:
                zone = endpoint['zone']
                address = find_free_address(self._host_of(zone))
                self.addresses[endpoint['name']] = address
                endpoint['address'] = self._open_proxy(address, zone)

    def _start_endpoints(self, contents: list[dict[str, object]]) -> None:
        self._contents = contents
        for content in contents:
            for group in content.get('endpoint_groups', []):
                for endpoint in group['endpoints']:
                    self.start_endpoint(endpoint['name'], group)
        for name, address in self.addresses.items():
            kind = 'entries' if self._is_plain(name) else 'v1/load'
            wait_until_answering(f'http://{address}/{kind}')

    def _host_of(self, zone: str) -> str:
        return self.network.get_host(zone) if self.network else _LOOPBACK

    def _open_proxy(self, address: str, zone: str) -> str:
        return (
            self.network.open_proxy(address, zone) if self.network else address
        )

    def _is_plain(self, name: str) -> bool:
        groups = [
            group
            for content in self._contents
            for group in content.get('endpoint_groups', [])
        ]
        return any(
            group['kind'] == 'plain'
            for group in groups
            for endpoint in group['endpoints']
            if endpoint['name'] == name
        )

    def _models_of(self, group: str) -> list[str]:
        return [
            service['model']
            for content in self._contents
            for service in content.get('services', [])
            if group in service['endpoint_groups'] and 'model' in service
        ]


@contextlib.contextmanager
def start_site(plan: SitePlan, directory: pathlib.Path) -> Iterator[Site]:
    """Run a site during a ``with`` block."""
    site = Site.from_plan(plan, directory)
    try:
        site.start()
        yield site
    finally:
        site.stop()


def _find_zones(contents: list[dict[str, object]]) -> list[str]:
    zones: dict[str, None] = collections.OrderedDict()
    for content in contents:
        deployment = content.get('deployment', {})
        zones.update(dict.fromkeys(deployment.get('zones', [])))
    return list(zones)


def _repeat_option(option: str, values: list[str]) -> list[str]:
    return [part for value in values for part in (option, value)]


def _digest(secret: str) -> str:
    return hashlib.sha256(secret.encode()).hexdigest()
