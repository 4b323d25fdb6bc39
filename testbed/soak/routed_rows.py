"""Rows of other writers that can't be decoded, and silent connections."""

import asyncio
import random
import time

from testbed.calls import CallError
from testbed.routed import RoutedSite

from .links import Link, LinkFault
from .routed_faults import Span

__all__ = ['CONNECTIONS_SILENCED', 'OddWrites', 'check_followers']

CONNECTIONS_SILENCED = 'store connections silenced'

_DEPTH = 50_000
_NESTED = b''.join((b'[' * _DEPTH, b']' * _DEPTH))
#: More digits than Python converts to a number.
_DIGIT_COUNT = 5000
_DIGITS = b'9' * _DIGIT_COUNT
_ENTRY = (
    b'{"service":"book","address":"127.0.0.1:%b","zone":"zone-a",'
    b'"state":"ready","sequence":%b}'
)
#: Content of rows by their table and key.
_ROWS = (
    ('servers', 'odd-nested', _NESTED),
    ('servers', 'odd-field', b'{"x":%b}' % _NESTED),
    ('servers', 'odd-port', _ENTRY % (_DIGITS, b'1')),
    ('servers', 'odd-number', _ENTRY % (b'9', _DIGITS)),
    ('op', 'evacuate/zone-odd', b'{"x":%b}' % _NESTED),
    ('kelproad_instances', 'odd', _NESTED),
)
#: Bounds of the seconds between two of them.
_GAP_SECONDS = (0.1, 1.5)
#: Largest age in seconds of a table that is followed.
_MAX_AGE = 2.0


class OddWrites:
    """Writes odd rows, and silences open connections to the store."""

    def __init__(
        self, site: RoutedSite, links: dict[str, Link], seed: int
    ) -> None:
        """Choose from a seed; links lead to endpoints and the store."""
        self._site = site
        self._links = [
            link for name, link in links.items() if name.startswith('store')
        ]
        self._random = random.Random(seed)

    async def run(self, seconds: float, spans: list[Span]) -> None:
        """Write and silence for ``seconds``, and record the silences."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if self._random.randrange(2):
                row = self._random.choice(_ROWS)
                await asyncio.to_thread(self._site.put_row, *row)
            else:
                for link in self._links:
                    link.harm(LinkFault.OPEN_SILENT)
                    link.heal()
                now = time.monotonic()
                spans.append(Span(CONNECTIONS_SILENCED, 'all', now, now))
            await asyncio.sleep(self._random.uniform(*_GAP_SECONDS))


def check_followers(site: RoutedSite) -> list[str]:
    """Return a line for each instance that no longer follows the store."""
    violated = []
    for instance in site.instances:
        try:
            shown = instance.dump()
        except (CallError, OSError) as error:
            violated.append(f'{instance.name} shows nothing: {error!r}')
            continue
        age = max(shown['age'], shown['endpoint_age'])
        if shown['version'] != site.version or age > _MAX_AGE:
            violated.append(
                f'{instance.name} has version {shown["version"]} of '
                f'{site.version}, {age:.2f} s old, {shown["failing_tasks"]}'
            )
    return violated
