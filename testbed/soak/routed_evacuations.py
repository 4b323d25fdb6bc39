"""Operators that evacuate a zone, and what its endpoints then get."""

import asyncio
import random
import time
import types

import attrs

from testbed.calls import CallError
from testbed.routed import RoutedSite, end_evacuation, evacuate_zone

from .routed_callers import CallRecord
from .routed_faults import RoutedFaults, list_interruptions
from .routed_late import STORE_LATE

__all__ = ['EvacuationOrders', 'check_evacuations']

_ZONE = 'zone-b'
#: Endpoints of that zone, and their services.
_ENDPOINTS = types.MappingProxyType({'engine-2': 'writer', 'book-2': 'book'})
#: Bounds of the seconds for which an order holds, and between two.
_ORDER_SECONDS = (0.2, 6.0)
_GAP_SECONDS = (0.2, 2.0)
#: Seconds after an order, or after a fault that hides it, from which on no call
#: of a caller may arrive.
_OBEYED_SECONDS = 2.0
_HIDING_FAULTS = frozenset(
    ('store fails', 'link harmed', 'store restored', STORE_LATE)
)


@attrs.frozen
class _Order:
    """An order, its monotonic begin and end, and the arrivals meanwhile."""

    began: float
    ended: float
    arrivals: list[dict[str, object]]


class EvacuationOrders:
    """Evacuates a zone and takes it back, beside any other faults."""

    def __init__(self, site: RoutedSite, seed: int) -> None:
        """Choose times from a seed."""
        self._site = site
        self._random = random.Random(seed)
        self.done: list[_Order] = []

    async def run(self, seconds: float) -> None:
        """Order for ``seconds``; no order holds on return."""
        if not seconds:
            return
        for name, service in _ENDPOINTS.items():
            self._site.zones[name] = _ZONE
            await asyncio.to_thread(self._site.put_endpoint_row, name, service)
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            await self._order()
            await asyncio.sleep(self._random.uniform(*_GAP_SECONDS))

    async def _order(self) -> None:
        await asyncio.to_thread(evacuate_zone, self._site, _ZONE)
        began = time.monotonic()
        await asyncio.sleep(self._random.uniform(*_ORDER_SECONDS))
        ended = time.monotonic()
        await asyncio.to_thread(end_evacuation, self._site, _ZONE)
        for name in _ENDPOINTS:
            try:
                shown = await asyncio.to_thread(self._site.show_endpoint, name)
            except (CallError, OSError):
                # It has crashed meanwhile, and knows nothing of before.
                continue
            self.done.append(_Order(began, ended, shown['arrivals']))


def check_evacuations(
    records: list[CallRecord],
    faults: RoutedFaults,
    orders: list[_Order],
) -> list[str]:
    """Return a line for each call that reached an evacuated zone too late."""
    callers = {item.request_id: item for item in records}
    return [
        f'{item.request_id} from {item.instance} reached {_ZONE} at '
        f'{arrival["at"]:.2f}, evacuated at {order.began:.2f}'
        for order in orders
        for arrival in order.arrivals
        if (item := callers.get(arrival['request'])) is not None
        and _is_late(item, arrival['at'], order, faults)
    ]


def _is_late(
    item: CallRecord, at: float, order: _Order, faults: RoutedFaults
) -> bool:
    """Return whether a call arrived later than its instance had to obey."""
    hidden = list_interruptions(faults, item.instance) + [
        (span.began, span.ended)
        for span in faults.spans
        if span.name in _HIDING_FAULTS
    ]
    known_at = order.began
    for began, ended in sorted(hidden):
        if began <= known_at + _OBEYED_SECONDS:
            known_at = max(known_at, ended)
    return known_at + _OBEYED_SECONDS < at < order.ended
