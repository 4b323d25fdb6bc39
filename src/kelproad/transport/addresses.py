"""Network addresses, as written in settings and configuration.

Peers and endpoints have IP addresses, never names, so that the instances of a
site do not depend on a name resolver.
"""

import functools
import ipaddress
import re
from typing import Self

import attrs

__all__ = ['Address', 'AddressError', 'is_ip_number']

_HIGHEST_PORT = 65535
_PORT_FORMAT = re.compile('[0-9]{1,5}')
#: Characters of an invalid text that an error shows.
_MAX_SHOWN = 80
#: Texts whose judgement is remembered, as each datagram is sent to one.
_MAX_JUDGED = 4_096


class AddressError(ValueError):
    """The text is not a valid ``IP:port``."""


@attrs.frozen
class Address:
    """An IP address and a port."""

    host: str
    port: int

    @classmethod
    def from_text(cls, text: str) -> Self:
        """Parse ``IP:port`` or ``[IPv6]:port``.

        Raises
        ------
        AddressError
            When the host is not an IP address or the port not in 1 to 65535.
        """
        shown = repr(text[:_MAX_SHOWN])
        host, _, port = text.rpartition(':')
        host = host.removeprefix('[').removesuffix(']')
        if not _PORT_FORMAT.fullmatch(port):
            raise AddressError(f'{shown} is not IP:port')
        if not 1 <= int(port) <= _HIGHEST_PORT:
            raise AddressError(f'{shown} has a port outside 1 to 65535')
        # A scope names an interface of the machine that wrote the address.
        if '%' in host:
            raise AddressError(f'{shown} has a scope')
        if not is_ip_number(host):
            raise AddressError(f'{shown} does not start with an IP address')
        return cls(host=host, port=int(port))

    @property
    def authority(self) -> str:
        """The address in the form of a URL, IPv6 in brackets."""
        host = f'[{self.host}]' if ':' in self.host else self.host
        return f'{host}:{self.port}'

    @property
    def url(self) -> str:
        """The address as the base of an HTTP URL."""
        return f'http://{self.authority}'


@functools.lru_cache(_MAX_JUDGED)
def is_ip_number(host: str) -> bool:
    """Return whether a text is an IP number of any machine, not a name."""
    if '%' in host:
        return False
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True
