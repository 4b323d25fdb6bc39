"""The configuration in force, which only a newer one replaces."""

import asyncio
import contextlib
import logging

from returns.result import Failure, Result

from ....state.records import record
from ....state.routes import IngressLimits, RoutingConfiguration

__all__ = ['ConfigurationHolder']

_logger = logging.getLogger(__name__)


class ConfigurationHolder:
    """The newest configuration that this process has received."""

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
        self.current = offered
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
