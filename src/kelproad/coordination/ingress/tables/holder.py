"""The configuration in force, which only a newer one replaces."""

import asyncio
import contextlib
import itertools
import logging

import attrs
from returns.result import Failure, Result

from ....state.records import record
from ....state.routes import (
    IngressLimits,
    RoutedService,
    RoutingConfiguration,
)

__all__ = ['ConfigurationHolder']

_logger = logging.getLogger(__name__)
#: Services that are known though the configuration in force has them no more,
#: those that were dropped last.
_MAX_DROPPED = 1_000


class ConfigurationHolder:
    """The newest configuration that this process has received.

    Services that it drops stay known beside its own.  No route leads to them,
    but calls in progress may need another endpoint there.
    """

    def __init__(self) -> None:
        """Start without a configuration."""
        self.current: RoutingConfiguration | None = None
        #: Bytes of the current one, as it was written.
        self._encoded: bytes | None = None
        self._adopted = asyncio.Event()

    @property
    def version(self) -> int | None:
        """Version of the configuration in force, if there is one."""
        return self.current.version if self.current else None

    @property
    def encoded(self) -> bytes | None:
        """The configuration in force as it was written."""
        return self._encoded

    def read_limits(self) -> IngressLimits:
        """Return the limits for callers, the defaults without any in force."""
        return self.current.limits if self.current else IngressLimits()

    async def await_first(self, seconds: float) -> RoutingConfiguration | None:
        """Wait for the first configuration, ``None`` if it takes too long."""
        with contextlib.suppress(asyncio.TimeoutError):
            async with asyncio.timeout(seconds):
                await self._adopted.wait()
        return self.current

    def offer(
        self,
        decoded: Result[RoutingConfiguration, str],
        encoded: bytes | None,
    ) -> bool:
        """Put a configuration in force if it is newer; return whether it was.

        A delayed answer of the store, or a store that was restored from a copy,
        may hold an older version; going back to it would undo changes that
        operators have made since.  Of two with one version, which only a
        restored store can have, the one offered later holds.
        """
        if isinstance(decoded, Failure):
            record(
                _logger,
                'configuration_unreadable',
                reason=decoded.failure(),
            )
            return False
        offered = decoded.unwrap()
        held = self.current.version if self.current else -1
        if offered.version < held or encoded == self._encoded:
            return False
        self.current = _keep_dropped(self.current, offered)
        self._encoded = encoded
        self._adopted.set()
        record(
            _logger,
            'configuration_adopted',
            version=offered.version,
            previous=held,
            hosts=len(offered.routes),
            keys=len(offered.workspaces_by_key),
        )
        return True


def _keep_dropped(
    held: RoutingConfiguration | None, offered: RoutingConfiguration
) -> RoutingConfiguration:
    """Add the services that a configuration drops to those that it has."""
    if held is None:
        return offered
    dropped: dict[str, RoutedService] = {
        name: service
        for name, service in held.services.items()
        if name not in offered.services
    }
    excess = max(0, len(dropped) - _MAX_DROPPED)
    kept = dict(itertools.islice(dropped.items(), excess, None))
    return attrs.evolve(offered, services=kept | offered.services)
