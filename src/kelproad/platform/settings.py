"""The settings file that the platform writes for each process.

It has lines of the form ``a.b=value``; items of lists are separated by commas.
The platform rewrites it at each start and whenever settings change.  Unknown
fields are ignored, as the platform adds new ones.
"""

import pathlib
from typing import Self

import attrs
from returns.result import Failure, Result, Success

from ..coordination.ingress.settings import Bounds, NodeSettings
from ..state.problems import Problem, parse_digits
from ..transport.addresses import Address, AddressError

__all__ = ['SETTINGS_VARIABLE', 'load_node_settings', 'parse_node_settings']

#: Environment variable that holds the path of the settings file.
SETTINGS_VARIABLE = 'KELPROAD_NODE_FILE'
_MILLISECONDS = 1000.0
_MEGABYTE = 1_048_576
_ROOT = '$'


class _FieldError(ValueError):
    """A field is missing or not of its type."""


@attrs.frozen
class _Fields:
    """The fields of the file by name, with typed accessors.

    They raise ``_FieldError`` for a value that is not of the type.
    """

    values: dict[str, str]

    @classmethod
    def from_text(cls, text: str) -> Self:
        """Split the lines; those without an equals sign are ignored."""
        pairs = (line.partition('=') for line in text.splitlines())
        return cls(
            {
                name.strip(): value.strip()
                for name, separator, value in pairs
                if separator
            },
        )

    def text(self, name: str) -> str:
        """Return a required field, which must not be empty."""
        if not self.values.get(name):
            raise _FieldError(f'{name}: missing')
        return self.values[name]

    def number(self, name: str, default: float | None = None) -> float:
        """Return a number, or the default if the field is missing."""
        if default is not None and not self.values.get(name):
            return default
        try:
            return float(self.text(name))
        except ValueError as error:
            raise _FieldError(f'{name}: {error}') from error

    def seconds(self, name: str, default: float | None = None) -> float:
        """Return in seconds a time that the file gives in milliseconds."""
        default_ms = None if default is None else default * _MILLISECONDS
        return self.number(name, default_ms) / _MILLISECONDS

    def address(self, name: str) -> Address:
        """Return the address in a required field."""
        try:
            return Address.from_text(self.text(name))
        except AddressError as error:
            raise _FieldError(f'{name}: {error}') from error

    def addresses(self, name: str) -> tuple[Address, ...]:
        """Return the addresses of a field that may be empty or missing."""
        texts = self.values.get(name, '').split(',')
        try:
            return tuple(Address.from_text(text) for text in texts if text)
        except AddressError as error:
            raise _FieldError(f'{name}: {error}') from error

    def table(self, name: str) -> dict[str, str]:
        """Return the fields below a name, by the rest of their own."""
        prefix = f'{name}.'
        return {
            field.removeprefix(prefix): text
            for field, text in self.values.items()
            if field.startswith(prefix)
        }


def load_node_settings(
    path: pathlib.Path,
) -> Result[NodeSettings, list[Problem]]:
    """Read and check a settings file; an unreadable one is a problem too."""
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        return Failure([Problem(str(path), 1, _ROOT, f'unreadable: {error}')])
    return parse_node_settings(text, str(path))


def parse_node_settings(
    text: str,
    origin: str,
) -> Result[NodeSettings, list[Problem]]:
    """Parse and check the text of a settings file.

    ``origin`` names the file in problems; only the first problem is reported.
    """
    fields = _Fields.from_text(text)
    try:
        settings = _decode_settings(fields)
    except _FieldError as error:
        return Failure([Problem(origin, 1, _ROOT, str(error))])
    return Success(settings)


def _decode_settings(fields: _Fields) -> NodeSettings:
    first_port, _, _ = fields.text('internal_port_range').partition(',')
    peer_port = parse_digits(first_port)
    if peer_port is None:
        raise _FieldError('internal_port_range: does not begin with a port')
    return NodeSettings(
        instance=fields.text('node_name'),
        zone=fields.text('zone'),
        ip=fields.text('ip'),
        caller_address=fields.address('listen.frontend'),
        ready_address=fields.address('listen.ready'),
        peer_port=peer_port,
        store_address=fields.address('platform.address'),
        # Every instance uses the same port for its peers, so a seed's host is
        # enough to find it.
        seed_hosts=tuple(seed.host for seed in fields.addresses('seeds')),
        bounds=_decode_bounds(fields),
        memory_bytes=fields.number('limits.memory_mb', 0) * _MEGABYTE,
        descriptors=fields.number('limits.max_fds', 0),
        regions=_decode_regions(fields),
    )


def _decode_regions(fields: _Fields) -> dict[str, str]:
    """Decode the region of each zone, that of the own one included."""
    regions = fields.table('zones')
    own = fields.values.get('region', '')
    return {fields.text('zone'): own, **regions} if own else regions


def _decode_bounds(fields: _Fields) -> Bounds:
    """Decode the limits; one that is missing has its default."""
    defaults = Bounds()
    return Bounds(
        stop_grace=fields.number('bounds.grace_s', defaults.stop_grace),
        leave_endpoint=fields.seconds(
            'bounds.drain_ms', defaults.leave_endpoint
        ),
        apply_configuration=fields.seconds(
            'bounds.config_apply_ms',
            defaults.apply_configuration,
        ),
        revoke_key=fields.seconds('bounds.revoke_ms', defaults.revoke_key),
        retry_ratio=fields.number(
            'bounds.retry_budget_ratio',
            defaults.retry_ratio,
        ),
        retry_slack=fields.number('bounds.retry_slack', defaults.retry_slack),
        longest_reservation=fields.seconds(
            'bounds.hold_max_ms',
            defaults.longest_reservation,
        ),
        free_reservation=fields.seconds(
            'bounds.free_ms',
            defaults.free_reservation,
        ),
    )
