"""The stand-in network of a site: addresses, cuts and their healing."""

import pathlib

from .calls import call_control
from .processes import Process, find_free_address, wait_until_answering

__all__ = ['PLATFORM', 'SiteNetwork']

#: Name under which the platform counts as a zone of its own.
PLATFORM = 'platform'


class SiteNetwork:
    """Stands between the zones of a site, its endpoints and the platform."""

    def __init__(self, zones: list[str], directory: pathlib.Path) -> None:
        """Start the stand-in network with all zones joined."""
        self._zones = zones
        self._control = find_free_address()
        options = [f'--zone={zone}={self._prefix_of(zone)}' for zone in zones]
        self.process = Process(
            'network',
            ['stand-in', 'network', '--address', self._control, *options],
            directory,
        )
        wait_until_answering(f'http://{self._control}/control/network')

    def host_of(self, zone: str) -> str:
        """Return the IP number on which a zone's processes listen."""
        return f'{self._prefix_of(zone)}1'

    def front(self, address: str, zone: str) -> str:
        """Open a link to an address and return the link's own address."""
        front = find_free_address()
        link = {'listen': front, 'target': address, 'zone': zone}
        call_control(self._control, 'POST', '/control/links', link)
        return front

    def cut(self, *pairs: tuple[str, str], mode: str = 'hold') -> None:
        """Cut pairs of zones; ``PLATFORM`` counts as one.

        Parameters
        ----------
        pairs
            Names of zones; the order within a pair does not matter.
        mode
            ``hold`` keeps bytes back until healing, ``break`` breaks the
            connections.
        """
        self._set({'cuts': pairs, 'mode': mode})

    def isolate(self, zone: str, mode: str = 'hold') -> None:
        """Cut a zone from all others and from the platform."""
        others = [other for other in self._zones if other != zone]
        pairs = [(zone, other) for other in (*others, PLATFORM)]
        self.cut(*pairs, mode=mode)

    def delay(self, seconds: float) -> None:
        """Delay bytes between different zones, in seconds one way."""
        self._set({'delay': seconds})

    def heal(self) -> None:
        """Make the network whole and fast again."""
        self._set({})

    def _set(self, conditions: dict[str, object]) -> None:
        call_control(self._control, 'PUT', '/control/network', conditions)

    def _prefix_of(self, zone: str) -> str:
        return f'127.0.{self._zones.index(zone) + 1}.'
