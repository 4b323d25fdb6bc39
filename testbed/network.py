"""Stand-in network of a site: addresses, partitions and delays."""

import pathlib

from .calls import call_control
from .processes import Process, find_free_address, wait_until_answering

__all__ = ['PLATFORM', 'SiteNetwork']

#: Name of the pseudo-zone in which the platform is located.
PLATFORM = 'platform'


class SiteNetwork:
    """Proxy between the zones of a site, its endpoints and the platform."""

    def __init__(self, zones: list[str], directory: pathlib.Path) -> None:
        """Start the stand-in process with all zones connected."""
        self._zones = zones
        self._control = find_free_address()
        options = [f'--zone={zone}={self._prefix_of(zone)}' for zone in zones]
        self.process = Process(
            'network',
            ['stand-in', 'network', '--address', self._control, *options],
            directory,
        )
        wait_until_answering(f'http://{self._control}/control/network')

    def get_host(self, zone: str) -> str:
        """Return the IP address on which a zone's processes listen."""
        return f'{self._prefix_of(zone)}1'

    def open_proxy(self, address: str, zone: str) -> str:
        """Open a proxy to ``address`` and return the proxy's address."""
        proxy = find_free_address()
        link = {'listen': proxy, 'target': address, 'zone': zone}
        call_control(self._control, 'POST', '/control/links', link)
        return proxy

    def cut(self, *pairs: tuple[str, str], mode: str = 'hold') -> None:
        """Disconnect pairs of zones; ``PLATFORM`` counts as a zone.

        Parameters
        ----------
        pairs
            Names of zones; the order within a pair does not matter.
        mode
            ``hold`` buffers bytes until ``heal``, ``break`` closes the
            connections.
        """
        self._set({'cuts': pairs, 'mode': mode})

    def isolate(self, zone: str, mode: str = 'hold') -> None:
        """Disconnect a zone from all others and from the platform."""
        others = [other for other in self._zones if other != zone]
        pairs = [(zone, other) for other in (*others, PLATFORM)]
        self.cut(*pairs, mode=mode)

    def delay(self, seconds: float) -> None:
        """Delay bytes between different zones by seconds one way."""
        self._set({'delay': seconds})

    def heal(self) -> None:
        """Remove all cuts and delays."""
        self._set({})

    def _set(self, conditions: dict[str, object]) -> None:
        call_control(self._control, 'PUT', '/control/network', conditions)

    def _prefix_of(self, zone: str) -> str:
        return f'127.0.{self._zones.index(zone) + 1}.'
