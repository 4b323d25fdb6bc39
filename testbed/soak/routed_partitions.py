"""Instances that are cut from all endpoints during a run."""

import asyncio
import random
import time

from testbed.routed import RoutedSite

from .links import Cut, Link
from .routed_faults import Span

__all__ = ['INSTANCE_CUT', 'InstanceCuts']

INSTANCE_CUT = 'instance cut'
_MIN_SECONDS = 0.5
_MAX_SECONDS = 5.0
_MAX_PAUSE_SECONDS = 2.0
#: Kinds of cuts; a further one would change what known seeds play.
_CUTS = (Cut.HANG, Cut.RESET, Cut.NEW_HANG)


class InstanceCuts:
    """Cuts some or all instances from all endpoints, again and again."""

    def __init__(
        self,
        site: RoutedSite,
        links: dict[str, Link],
        seed: int,
        with_mute: bool = False,
    ) -> None:
        """Choose instances, cuts and times from a seed."""
        self._cuts = (*_CUTS, Cut.MUTE) if with_mute else _CUTS
        self._site = site
        self._links = [links[name] for name in site.endpoints]
        self._random = random.Random(seed)

    async def run(self, seconds: float, spans: list[Span]) -> None:
        """Cut for ``seconds`` and record it; no cut is left on return."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            await asyncio.sleep(self._random.uniform(0, _MAX_PAUSE_SECONDS))
            instances = self._site.instances
            count = self._random.randint(1, len(instances))
            chosen = self._random.sample(instances, count)
            cut = self._random.choice(self._cuts)
            duration = self._random.uniform(_MIN_SECONDS, _MAX_SECONDS)
            began = time.monotonic()
            hosts = frozenset(one.caller.split(':')[0] for one in chosen)
            for link in self._links:
                link.cut_from(hosts, cut)
            await asyncio.sleep(duration)
            for cut_link in self._links:
                cut_link.end_cut()
            spans.extend(
                Span(INSTANCE_CUT, one.name, began, time.monotonic())
                for one in chosen
            )
