"""Checks after a run: the answers to callers against the work done."""

import collections
import time
from collections.abc import Callable

from testbed.site import Site

from .callers import Outcome, WorkRecord, exceeds_deadline

__all__ = ['check_consistency']

#: Seconds within which engines release all memory and instances agree.
SETTLE_SECONDS = 30.0
_POLL_SECONDS = 0.5
_MAX_SHOWN = 3000


def check_consistency(
    site: Site,
    records: list[WorkRecord],
    revision: int,
) -> list[str]:
    """Compare the callers' records with those of services and engines.

    Returns
    -------
    list of str
        A line for each violated guarantee.
    """
    effects = _count_effects(site)
    broken = [line for item in records for line in _check_record(item, effects)]
    return [
        *broken,
        *_check_logs(site),
        *_wait_for(lambda: _check_memory(site)),
        *_wait_for(lambda: _check_instances(site, revision)),
    ]


def _count_effects(site: Site) -> collections.Counter[str]:
    effects: collections.Counter[str] = collections.Counter()
    for name, address in site.addresses.items():
        if name.startswith('run-book'):
            effects.update(site.control(address, 'GET', '/entries'))
    return effects


def _check_record(
    item: WorkRecord,
    effects: collections.Counter[str],
) -> list[str]:
    label = f'{item.kind} {item.reference} ({", ".join(item.outcomes)})'
    broken = []
    if item.wrong:
        broken.append(f'{label}: {item.wrong}')
    if exceeds_deadline(item):
        broken.append(f'{label}: an attempt lasted {item.longest:.1f} s')
    if item.kind == 'completion':
        return broken
    times = effects[item.reference]
    if times > 1:
        broken.append(f'{label}: ran {times} times')
    if Outcome.ANSWERED in item.outcomes and times != 1:
        broken.append(f'{label}: answered, but ran {times} times')
    if times and set(item.outcomes) <= {Outcome.NOT_RUN}:
        broken.append(f'{label}: reported as not run, but it ran')
    return broken


def _check_logs(site: Site) -> list[str]:
    """Find tracebacks in the logs of the instances."""
    broken = []
    for instance in site.instances:
        text = instance.process.log.read_text()
        parts = text.split('Traceback (most recent call last)')[1:]
        broken += [
            f'{instance.name} raised: {part[:_MAX_SHOWN]}' for part in parts
        ]
    return broken


def _check_memory(site: Site) -> list[str]:
    broken = []
    for name, address in site.addresses.items():
        if name.startswith('run-book'):
            continue
        memory = site.control(address, 'GET', '/v1/held')
        if memory['used_tokens'] or memory['held']:
            broken.append(f'{name} still holds {memory}')
    return broken


def _check_instances(site: Site, revision: int) -> list[str]:
    broken = []
    for instance in site.instances:
        dump = site.control(instance.operator, 'GET', '/operator/dump')
        if dump['revision'] != revision:
            broken.append(
                f'{instance.name} has revision {dump["revision"]}, '
                f'the newest accepted one is {revision}',
            )
        if dump['invariant_violations']:
            violations = dump['invariant_violations']
            broken.append(f'{instance.name} violated {violations}')
        if dump['requests']:
            left = len(dump['requests'])
            broken.append(f'{instance.name} has {left} unfinished requests')
    return broken


def _wait_for(check: Callable[[], list[str]]) -> list[str]:
    """Repeat a check until it passes or ``SETTLE_SECONDS`` are over."""
    limit = time.monotonic() + SETTLE_SECONDS
    broken = check()
    while broken and time.monotonic() < limit:
        time.sleep(_POLL_SECONDS)
        broken = check()
    return broken
