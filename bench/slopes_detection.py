"""Detection time and false removals with a virtual clock and a lossy network.

5% of the messages are lost, 5% duplicated, and each is delayed by up to 0.3 s.
After two minutes without failures a third of the members is killed.
"""

import asyncio
import random

from kelproad.state.members import REMOVE_AFTER
from testbed.members import Conditions, MemberSite, SimulatedMember

from .slopes_usage import Row

__all__ = ['measure_detection']

_SEED = 31
_LOSSY = Conditions(loss=0.05, duplication=0.05, delay=0.005, jitter=0.3)
_JOIN_SECONDS = 10
_QUIET_SECONDS = 120
_STEP = 0.25
_KILLED_DIVISOR = 3

Pair = tuple[str, str]


def measure_detection(sizes: list[int]) -> list[Row]:
    """Measure with several numbers of members in three zones."""
    return [row for size in sizes for row in asyncio.run(_measure(size))]


async def _measure(size: int) -> list[Row]:
    site = MemberSite.from_seed(_SEED, size, conditions=_LOSSY)
    await site.run(_JOIN_SECONDS)
    false_removals = 0
    sent_before = _count_bytes(site)
    for _ in range(int(_QUIET_SECONDS / _STEP)):
        await site.run(_STEP)
        false_removals += site.count_missing()
    sent = (_count_bytes(site) - sent_before) / size / _QUIET_SECONDS
    killed = random.Random(_SEED).sample(
        site.running(), size // _KILLED_DIVISOR
    )
    for member in killed:
        member.running = False
    same_zone, other_zones = await _watch_removals(site, killed)
    return [
        Row('detection', size, 'false removals in 120 s', false_removals),
        Row('detection', size, 'bytes sent per second and member', sent),
        Row(
            'detection',
            size,
            's to detect in the same zone, median',
            _median(same_zone),
        ),
        Row(
            'detection',
            size,
            's to detect in the same zone, maximum',
            max(same_zone),
        ),
        Row(
            'detection',
            size,
            's to detect in other zones, median',
            _median(other_zones),
        ),
        Row(
            'detection',
            size,
            's to detect in other zones, maximum',
            max(other_zones),
        ),
    ]


async def _watch_removals(
    site: MemberSite,
    killed: list[SimulatedMember],
) -> tuple[list[float], list[float]]:
    """Return the seconds to each removal, in the same and other zones."""
    started_at = site.now
    zones = {member.name: member.zone for member in site.members.values()}
    undetected: set[Pair] = {
        (member.name, dead.name) for member in site.running() for dead in killed
    }
    same_zone: list[float] = []
    other_zones: list[float] = []
    limit = started_at + REMOVE_AFTER * 10
    while undetected and site.now < limit:
        await site.run(_STEP)
        live = {
            (member.name, name)
            for member in site.running()
            for name in site.see(member)
        }
        for pair in undetected - live:
            is_same_zone = zones[pair[0]] == zones[pair[1]]
            (same_zone if is_same_zone else other_zones).append(
                site.now - started_at
            )
        undetected &= live
    return same_zone, other_zones


def _count_bytes(site: MemberSite) -> int:
    return sum(member.sent_bytes for member in site.members.values())


def _median(seconds: list[float]) -> float:
    return sorted(seconds)[len(seconds) // 2]
