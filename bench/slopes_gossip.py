"""CPU time of gossip rounds and memory of the table, by number of members.

Each round chooses peers and packs records for them; no message is sent.
"""

import random
import time
import tracemalloc

from kelproad.coordination.gossip import PERIOD, Gossiper
from kelproad.coordination.gossippeers import Location
from kelproad.state.endpoints import EndpointReport
from kelproad.state.members import Member, MemberTable

from .slopes_usage import Row

__all__ = ['measure_gossip']

_ZONES = 8
_REPORTS_PER_MEMBER = 11
_ROUNDS = 40
#: Bytes available for records in a message.
_RECORD_BUDGET = 700
_INCARNATION = 1_764_720_000_000_000_000


def measure_gossip(sizes: list[int]) -> list[Row]:
    """Measure rounds without sending, with several numbers of members."""
    return [row for size in sizes for row in _measure(size)]


def _measure(size: int) -> list[Row]:
    generator = random.Random(size)
    tracemalloc.start()
    table = MemberTable('zone-0')
    for index in range(1, size):
        table.merge(_create_member(index, 1, generator), 0)
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    local_member = _create_member(0, 1, generator)
    location = Location(
        local_member.name, local_member.zone, '', local_member.peer_address
    )
    gossiper = Gossiper(location, table, generator)
    seconds = float(0)
    for number in range(_ROUNDS):
        now = number * PERIOD
        for received in range(1, size):
            table.merge(_create_member(received, number + 2, generator), now)
        started = time.process_time()
        for address in gossiper.peers.choose(now, {}):
            gossiper.pack(address, local_member, now, _RECORD_BUDGET)
        seconds += time.process_time() - started
    cpu_percent = 100 * seconds / (_ROUNDS * PERIOD)
    return [
        Row(
            'gossip',
            size,
            '% of a core, choosing and packing',
            cpu_percent,
        ),
        Row('gossip', size, 'bytes per member with its load', held / size),
    ]


def _create_member(
    index: int,
    version: int,
    generator: random.Random,
) -> Member:
    reports = [
        EndpointReport(
            f'engine-{index * _REPORTS_PER_MEMBER + number}',
            str(_INCARNATION + index),
            waiting_tokens=generator.randrange(100_000),
            running=20,
            used_tokens=200_000,
            models=['model-1'],
            age=0.1,
        )
        for number in range(_REPORTS_PER_MEMBER)
    ]
    return Member(
        f'zone-{index % _ZONES}-{index}',
        f'zone-{index % _ZONES}',
        f'10.0.{index // 200}.{index % 200}:8082',
        _INCARNATION + index,
        version=version,
        load_version=version,
        reports=reports,
        dispatched={'engine-1': 1000},
    )
