"""Settings of one instance: its addresses, zone, keys and logs.

Settings define this process; the services come from the configuration that
operators apply.  An environment variable ``KELPROAD_<NAME>`` overrides the
file's value, which keeps secrets out of files.
"""

import enum
import pathlib
from collections.abc import Mapping

import attrs
import yaml
from returns.result import Failure, Result, Success

from ..state.problems import Problem
from ..transport.addresses import Address, AddressError
from .documents import Document, read_document, structure

__all__ = ['LogFormat', 'Settings', 'load_settings']

_ENVIRONMENT_PREFIX = 'KELPROAD_'
_MIN_KEY_LENGTH = 16


class LogFormat(enum.StrEnum):
    """Format of the log lines."""

    PLAIN = 'plain'
    JSON = 'json'


@attrs.frozen
class Settings:
    """Settings of one instance.

    Attributes
    ----------
    caller_address, operator_address, peer_address
        ``IP:port`` to which callers, operators and other instances connect.
    platform_address
        ``IP:port`` of the platform's service.
    peer_key
        Secret shared by the instances of the site.
    operator_digests
        SHA-256 digest, in hexadecimal, of each operator's token, by name.
    peer_advertised
        Peer address as other instances reach it; ``peer_address`` if omitted.
    seeds
        Peer addresses used while the platform cannot be reached.
    region
        Region of the zone; links between regions are used sparingly.
    drain_grace
        Seconds during which a stopping instance still accepts the requests
        that a lagging load balancer sends.
    drain_limit
        Seconds after which a stopping instance no longer waits for requests.
    lease_seconds
        Seconds for which the lease holder of a zone may send orders without
        renewing its lease; must be the same at every instance.
    forgotten_after
        Seconds of silence after which an instance that the platform no longer
        lists counts as departed, and everything that engines hold for it is
        released.
    """

    instance: str
    zone: str
    caller_address: str
    operator_address: str
    peer_address: str
    platform_address: str
    peer_key: str
    operator_digests: dict[str, str]
    peer_advertised: str = ''
    seeds: list[str] = attrs.field(factory=list)
    region: str = ''
    drain_grace: float = 5.0
    drain_limit: float = 600.0
    forgotten_after: float = 30.0
    log_format: LogFormat = LogFormat.PLAIN
    log_level: str = 'INFO'
    assert_invariants: bool = False
    lease_seconds: float = 10.0

    @property
    def reachable_peer_address(self) -> str:
        """Peer address that other instances use for this one."""
        return self.peer_advertised or self.peer_address


def load_settings(
    path: pathlib.Path,
    environment: Mapping[str, str],
) -> Result[Settings, list[Problem]]:
    """Read a settings file, apply the environment's overrides and check."""
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        return Failure([Problem(str(path), 1, '$', f'unreadable: {error}')])
    document = read_document(text, str(path))
    return document.bind(lambda read: _resolve(read, environment))


def _resolve(
    document: Document,
    environment: Mapping[str, str],
) -> Result[Settings, list[Problem]]:
    if not isinstance(document.content, dict):
        return Failure([document.report('$', 'expected a mapping')])
    document.content.update(_read_overrides(environment))
    return structure(document, Settings).bind(
        lambda settings: _check(settings, document),
    )


def _read_overrides(environment: Mapping[str, str]) -> dict[str, object]:
    overrides = {}
    for field in attrs.fields(Settings):
        text = environment.get(_ENVIRONMENT_PREFIX + field.name.upper())
        if text is not None:
            is_text = field.type is str
            overrides[field.name] = text if is_text else yaml.safe_load(text)
    return overrides


def _check(
    settings: Settings,
    document: Document,
) -> Result[Settings, list[Problem]]:
    problems = []
    for name in (
        'caller_address',
        'operator_address',
        'peer_address',
        'platform_address',
    ):
        address = getattr(settings, name)
        problems.extend(_check_address(document, f'$.{name}', address))
    if settings.peer_advertised:
        advertised = settings.peer_advertised
        path = '$.peer_advertised'
        problems.extend(_check_address(document, path, advertised))
    for index, seed in enumerate(settings.seeds):
        problems.extend(_check_address(document, f'$.seeds[{index}]', seed))
    if len(settings.peer_key) < _MIN_KEY_LENGTH:
        message = f'must have at least {_MIN_KEY_LENGTH} characters'
        problems.append(document.report('$.peer_key', message))
    return Failure(problems) if problems else Success(settings)


def _check_address(
    document: Document,
    path: str,
    text: str,
) -> list[Problem]:
    try:
        Address.from_text(text)
    except AddressError as error:
        return [document.report(path, str(error))]
    return []
