"""Catching up with instances that have a newer configuration in force.

Whatever the cause, an instance that no longer learns of new configurations
shows no error.  Each reports the version that it has in force; one that stays
behind fetches the configuration of another, and is not ready as long as that
fails.

So does an instance that reads a store which was restored from a copy: others
may know more than the copy.
"""

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable

import aiohttp
from returns.result import Failure

from ....state.records import record
from ....transport.deadlines import monotonic
from ....transport.exchanges import exchange
from ....transport.services import BackgroundService, restarted_task
from ..settings import Bounds
from ..tables.followed import FollowedTables
from ..tables.holder import ConfigurationHolder
from .peers import Peer, PeerRegister

__all__ = ['CONFIGURATION_PATH', 'ConfigurationCatchUp']

_logger = logging.getLogger(__name__)
#: Path under which an instance serves the configuration that it has in force.
CONFIGURATION_PATH = '/configuration'
#: Seconds between two comparisons, before and after the first succeeded.
_FIRST_CHECK_PERIOD = 0.02
_CHECK_PERIOD = 0.2
#: Share of the time in which a configuration must be in force after which an
#: instance that is behind fetches it: it usually comes with the table sooner.
_PATIENCE_SHARE = 0.5
#: Seconds of a fetch without a byte, and in all.
_FETCH_TIMEOUT = 0.5
_LONGEST_FETCH = 4.0
#: Seconds for which a peer that turned out to have nothing newer is ignored.
_IGNORED_SECONDS = 10.0
_OK = 200


class ConfigurationCatchUp(BackgroundService):
    """Compares the configuration in force with those of other instances."""

    abstract = False

    def __init__(
        self,
        tables: FollowedTables,
        holder: ConfigurationHolder,
        peers: PeerRegister,
        is_instance: Callable[[str], Awaitable[bool]],
        session: aiohttp.ClientSession,
        bounds: Bounds,
        generator: random.Random,
    ) -> None:
        """Adopt what listed instances have in force, if it is newer."""
        super().__init__()
        self._tables = tables
        self._holder = holder
        self._peers = peers
        self._is_instance = is_instance
        self._session = session
        self._bounds = bounds
        self._generator = generator
        #: Monotonic time since which others are ahead.
        self._behind_since = float('inf')
        #: Monotonic time until which the report of a peer is ignored, by host.
        self._ignored_until: dict[str, float] = {}

    @property
    def is_behind(self) -> bool:
        """Whether others are ahead for longer than a change may take."""
        behind = monotonic() - self._behind_since
        return behind > self._bounds.apply_configuration

    async def check(self, version: int) -> None:
        """Catch up with other instances if some are ahead of a version."""
        now = monotonic()
        ahead = self._list_ahead(version, now)
        if not ahead:
            self._behind_since = float('inf')
            if self._peers.count_live(now) > 1:
                self._tables.confirmation.mark_compared()
            return
        self._behind_since = min(self._behind_since, now)
        if now - self._behind_since >= self._choose_patience():
            await self._fetch(self._generator.choice(ahead), version)

    @restarted_task
    async def _compare(self) -> None:
        while not self.should_stop:
            compared = self._tables.confirmation.is_compared
            await asyncio.sleep(
                _CHECK_PERIOD if compared else _FIRST_CHECK_PERIOD
            )
            if self._holder.version is not None:
                await self.check(self._holder.version)

    def _list_ahead(self, version: int, now: float) -> list[Peer]:
        return [
            peer
            for peer in self._peers.list_ahead(version, now)
            if self._ignored_until.get(peer.address.host, now) <= now
        ]

    def _choose_patience(self) -> float:
        """Return the seconds for which the table itself may bring it.

        A store that was just restored may not have it any more.
        """
        confirmation = self._tables.confirmation
        if confirmation.is_compared and confirmation.is_settled:
            return self._bounds.apply_configuration * _PATIENCE_SHARE
        return 0

    async def _fetch(self, peer: Peer, version: int) -> None:
        host = peer.address.host
        if not await self._is_instance(host):
            self._ignore(host, version, 'not listed')
            return
        answered = await exchange(
            self._session,
            'GET',
            f'{peer.address.url}{CONFIGURATION_PATH}',
            _FETCH_TIMEOUT,
            longest=_LONGEST_FETCH,
        )
        if isinstance(answered, Failure) or answered.unwrap().status != _OK:
            record(_logger, 'configuration_not_fetched', host=host)
            return
        if self._tables.adopt_held(answered.unwrap().body):
            record(
                _logger,
                'configuration_fetched',
                host=host,
                version=self._holder.version,
                previous=version,
            )
        elif self._holder.version == version:
            self._ignore(host, version, 'nothing newer')

    def _ignore(self, host: str, version: int, reason: str) -> None:
        self._ignored_until[host] = monotonic() + _IGNORED_SECONDS
        record(
            _logger,
            'configuration_claim_ignored',
            host=host,
            version=version,
            reason=reason,
        )
