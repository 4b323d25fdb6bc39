"""The settings file that the platform writes for each process.

Lines of the form ``a.b=value``; lists are joined by commas.  The platform
writes it anew at each start and whenever settings change.  Fields that are not
known here are ignored, as the platform adds new ones.
"""

import pathlib
from typing import Self

import attrs
from returns.result import Failure, Result, Success

from ..coordination.ingress.settings import Bounds, NodeSettings
from ..state.problems import Problem
from ..transport.addresses import Address, AddressError

__all__ = ['SETTINGS_VARIABLE', 'load_node_settings', 'parse_node_settings']

#: Environment variable that holds the path of the settings file.
SETTINGS_VARIABLE = 'KELPROAD_NODE_FILE'
_MILLISECONDS = 1000.0
_ROOT = '$'


class _FieldError(ValueError):
    """A field is missing or is not of its type."""


@attrs.frozen
class _Fields:
    """The file's fields, read with their types."""

    values: dict[str, str]

    @classmethod
    def from_text(cls, text: str) -> Self:
        """Split the lines; those without an equals sign are passed over."""
        pairs = (line.partition('=') for line in text.splitlines())
        return cls(
            {
                name.strip(): value.strip()
                for name, separator, value in pairs
                if separator
            },
        )

    def text(self, name: str) -> str:
        """Return a field that must be there."""
        if not self.values.get(name):
            raise _FieldError(f'{name}: missing')
        return self.values[name]

    def number(self, name: str, default: float | None = None) -> float:
        """Return a number, or a default where the field is missing."""
        if default is not None and not self.values.get(name):
            return default
        try:
            return float(self.text(name))
        except ValueError as error:
            raise _FieldError(f'{name}: {error}') from error

    def seconds(self, name: str, default: float | None = None) -> float:
        """Return a time that the file gives in milliseconds."""
        wanted = None if default is None else default * _MILLISECONDS
        return self.number(name, wanted) / _MILLISECONDS

    def address(self, name: str) -> Address:
        """Return an address."""
        try:
            return Address.from_text(self.text(name))
        except AddressError as error:
            raise _FieldError(f'{name}: {error}') from error

    def addresses(self, name: str) -> tuple[Address, ...]:
        """Return a list of addresses, which may be empty or missing."""
        texts = self.values.get(name, '').split(',')
        try:
            return tuple(Address.from_text(text) for text in texts if text)
        except AddressError as error:
            raise _FieldError(f'{name}: {error}') from error


def load_node_settings(
    path: pathlib.Path,
) -> Result[NodeSettings, list[Problem]]:
    """Read and check a settings file."""
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        return Failure([Problem(str(path), 1, _ROOT, f'unreadable: {error}')])
    return parse_node_settings(text, str(path))


def parse_node_settings(
    text: str,
    origin: str,
) -> Result[NodeSettings, list[Problem]]:
    """Check the text of a settings file."""
    fields = _Fields.from_text(text)
    try:
        settings = _decode(fields)
    except _FieldError as error:
        return Failure([Problem(origin, 1, _ROOT, str(error))])
    return Success(settings)


def _decode(fields: _Fields) -> NodeSettings:
    ports = fields.text('internal_port_range').split(',')
    if not ports[0].isdigit():
        raise _FieldError('internal_port_range: not a port')
    return NodeSettings(
        instance=fields.text('node_name'),
        zone=fields.text('zone'),
        ip=fields.text('ip'),
        caller_address=fields.address('listen.frontend'),
        ready_address=fields.address('listen.ready'),
        peer_port=int(ports[0]),
        store_address=fields.address('platform.address'),
        # The ports of a service are the same at every instance, so a seed's
        # IP number is enough to find its port for peers.
        seed_hosts=tuple(seed.host for seed in fields.addresses('seeds')),
        bounds=_decode_bounds(fields),
    )


def _decode_bounds(fields: _Fields) -> Bounds:
    """Decode the figures of the rules; those not given keep their default."""
    usual = Bounds()
    return Bounds(
        stop_grace=fields.number('bounds.grace_s', usual.stop_grace),
        leave_endpoint=fields.seconds('bounds.drain_ms', usual.leave_endpoint),
        apply_configuration=fields.seconds(
            'bounds.config_apply_ms',
            usual.apply_configuration,
        ),
        revoke_key=fields.seconds('bounds.revoke_ms', usual.revoke_key),
        retry_ratio=fields.number(
            'bounds.retry_budget_ratio',
            usual.retry_ratio,
        ),
        retry_slack=fields.number('bounds.retry_slack', usual.retry_slack),
        longest_reservation=fields.seconds(
            'bounds.hold_max_ms',
            usual.longest_reservation,
        ),
        free_reservation=fields.seconds(
            'bounds.free_ms',
            usual.free_reservation,
        ),
    )
