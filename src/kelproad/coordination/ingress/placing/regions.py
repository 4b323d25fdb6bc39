"""Regions in which calls may be served, and through which they may pass."""

import logging
import random
from collections.abc import Callable

import attrs

from ....state.calls import Call
from ....state.endpoints import Endpoint
from ....state.records import OnceRecorder
from .placement import NoPlacementError

__all__ = ['RegionFilter']

_logger = logging.getLogger(__name__)
#: Bounds of the seconds after which callers retry when no endpoint is in a
#: permitted region; at random, so that they don't all come at once.
_RETRIES = (1.0, 3.0)


@attrs.frozen
class RegionFilter:
    """Excludes zones whose region a call may not use.

    ``_find_region`` returns the region of a zone, empty when it is unknown.
    """

    _find_region: Callable[[str], str]
    _generator: random.Random
    _recorder: OnceRecorder = attrs.field(factory=lambda: OnceRecorder(_logger))

    def permits(self, call: Call, zone: str) -> bool:
        """Return whether a call may be sent to or through a zone."""
        permitted = call.permitted_regions
        if permitted is None:
            return True
        region = self._find_region(zone)
        if not region:
            self._recorder.record(zone, 'zone_without_region', zone=zone)
        return region in permitted

    def select(self, endpoints: list[Endpoint], call: Call) -> list[Endpoint]:
        """Select the endpoints that a call may be sent to.

        Raises
        ------
        NoPlacementError
            When there are endpoints, but none in a permitted region.
        """
        if call.permitted_regions is None:
            return endpoints
        zones = {endpoint.declaration.zone for endpoint in endpoints}
        permitted = {zone for zone in zones if self.permits(call, zone)}
        if zones and not permitted:
            raise NoPlacementError(
                'no endpoint is in a region that the call may use',
                worth_waiting=False,
                retry_after=self._generator.uniform(*_RETRIES),
            )
        return [
            endpoint
            for endpoint in endpoints
            if endpoint.declaration.zone in permitted
        ]
