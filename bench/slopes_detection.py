"""Detection time and false removals, on a simulated clock and a lossy network.

A twentieth of the messages is lost, another twentieth doubled, and each is
late by up to 0.3 s.  After two quiet minutes a third of the members is killed.
"""

import asyncio
import random

from kelproad.state.members import REMOVE_AFTER
from testbed.members import Conditions, MemberSite, SimulatedMember

from .slopes_usage import Row

__all__ = ['measure_detection']

_SEED = 31
_LOSSY = Conditions(loss=0.05, doubling=0.05, delay=0.005, jitter=0.3)
_JOIN_SECONDS = 10
_QUIET_SECONDS = 120
_STEP = 0.25
_KILLED_OF = 3

Pair = tuple[str, str]


def measure_detection(sizes: list[int]) -> list[Row]:
    """Measure at several numbers of members in three zones."""
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
    chosen = random.Random(_SEED).sample(site.running(), size // _KILLED_OF)
    for member in chosen:
        member.running = False
    near, far = await _watch_removals(site, chosen)
    return [
        Row('detection', size, 'false removals in 120 s', false_removals),
        Row('detection', size, 'bytes sent a second a member', sent),
        Row(
            'detection', size, 's to detect in the zone, median', _middle(near)
        ),
        Row('detection', size, 's to detect in the zone, longest', max(near)),
        Row('detection', size, 's to detect elsewhere, median', _middle(far)),
        Row('detection', size, 's to detect elsewhere, longest', max(far)),
    ]


async def _watch_removals(
    site: MemberSite,
    killed: list[SimulatedMember],
) -> tuple[list[float], list[float]]:
    """Return the seconds until each running member missed each killed one."""
    began = site.now
    zones = {member.name: member.zone for member in site.members.values()}
    waiting: set[Pair] = {
        (member.name, dead.name) for member in site.running() for dead in killed
    }
    near: list[float] = []
    far: list[float] = []
    limit = began + REMOVE_AFTER * 10
    while waiting and site.now < limit:
        await site.run(_STEP)
        seen = {
            (member.name, name)
            for member in site.running()
            for name in site.see(member)
        }
        for pair in waiting - seen:
            is_near = zones[pair[0]] == zones[pair[1]]
            (near if is_near else far).append(site.now - began)
        waiting &= seen
    return near, far


def _count_bytes(site: MemberSite) -> int:
    return sum(member.sent_bytes for member in site.members.values())


def _middle(seconds: list[float]) -> float:
    return sorted(seconds)[len(seconds) // 2]
