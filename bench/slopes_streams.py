"""Streams through a real instance: CPU time per token, memory per stream.

The baseline is a minimal aiohttp relay in front of the same source in the same
run, so that the ratio is comparable between machines.  An instance without
streams gives the idle figures.
"""

import asyncio
import contextlib
import hashlib
import json
import pathlib
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator

import aiohttp
import attrs
import yaml

from kelproad.transport.http import create_session
from testbed.calls import OPERATOR_TOKEN, call_control
from testbed.processes import (
    Process,
    find_free_address,
    wait_until_answering,
)

from .slopes_usage import Row, read_usage

__all__ = ['measure_idle', 'measure_streams']

_KEY = 'key-of-the-slopes'
_TOKENS_PER_SECOND = 1500
_MIN_INTERVAL = 0.028
_MEASURED_SECONDS = 5.0
_SETTLE_SECONDS = 1.0
_IDLE_SECONDS = 10.0
_WIDTH = 46
_REPOSITORY = pathlib.Path(__file__).resolve().parent.parent


@attrs.define
class _Tally:
    tokens: int = 0
    opened: int = 0


@contextlib.contextmanager
def _run_instance(
    source: str,
    endpoints: int = 1,
) -> Iterator[tuple[str, Process, str]]:
    """Run platform and instance; yield caller address, process, platform."""
    platform = find_free_address()
    caller, operator, peer = (find_free_address() for _ in range(3))
    with tempfile.TemporaryDirectory() as name:
        directory = pathlib.Path(name)
        started = [
            Process(
                'platform',
                ['stand-in', 'platform', '--address', platform],
                directory,
            ),
        ]
        settings = directory / 'instance.yaml'
        digest = hashlib.sha256(OPERATOR_TOKEN.encode()).hexdigest()
        settings.write_text(
            yaml.safe_dump(
                {
                    'instance': 'slope-1',
                    'zone': 'a',
                    'caller_address': caller,
                    'operator_address': operator,
                    'peer_address': peer,
                    'platform_address': platform,
                    'peer_key': 'a-shared-key-of-the-slopes',
                    'operator_digests': {'ops': digest},
                    'drain_grace': 0.1,
                    'drain_limit': 1,
                },
            ),
        )
        wait_until_answering(f'http://{platform}/members')
        started.append(
            Process(
                'slope-1', ['serve', '--settings', str(settings)], directory
            ),
        )
        try:
            wait_until_answering(f'http://{caller}/healthz')
            _apply(operator, source, endpoints)
            wait_until_answering(f'http://{caller}/readyz')
            yield caller, started[1], platform
        finally:
            for process in reversed(started):
                process.stop()


def _apply(operator: str, source: str, endpoints: int) -> None:
    port = source.rpartition(':')[2]
    declared = [
        {
            'name': f'engine-{number}',
            'zone': 'a',
            'address': f'127.0.0.{number + 1}:{port}',
        }
        for number in range(endpoints)
    ]
    content = {
        'name': 'slopes',
        'deployment': {'name': 'slopes', 'zones': ['a']},
        'endpoint_groups': [
            {
                'name': 'engines',
                'kind': 'engine',
                'memory_tokens': 100_000_000,
                'endpoints': declared,
            },
        ],
        'services': [
            {
                'name': 'slope',
                'kind': 'model',
                'model': 'slope-model',
                'endpoint_groups': ['engines'],
            },
        ],
        'workspaces': [
            {
                'name': 'slopes',
                'key_digests': [hashlib.sha256(_KEY.encode()).hexdigest()],
                'services': ['slope'],
            },
        ],
    }
    call_control(
        operator,
        'POST',
        '/operator/apply',
        {
            'text': yaml.safe_dump(content, sort_keys=False),
            'source': 'slopes.yaml',
            'base_generation': 0,
            'apply_id': 'slopes-0',
        },
    )


@contextlib.contextmanager
def _run_bench_process(role: str, *options: str) -> Iterator[tuple[str, int]]:
    """Run the source or the relay; yield its address and process ID."""
    address = find_free_address()
    port = address.rpartition(':')[2]
    process = subprocess.Popen(
        [
            sys.executable,
            '-m',
            'bench.slopes_source',
            role,
            '--port',
            port,
            *options,
        ],
        cwd=_REPOSITORY,
    )
    try:
        _wait_listening(address)
        yield address, process.pid
    finally:
        process.terminate()
        process.wait()


def _wait_listening(address: str) -> None:
    host, _, port = address.rpartition(':')
    limit = time.monotonic() + _IDLE_SECONDS

    async def connect() -> None:
        _, writer = await asyncio.open_connection(host, int(port))
        writer.close()

    while time.monotonic() < limit:
        with contextlib.suppress(OSError):
            asyncio.run(connect())
            return
        time.sleep(0.05)
    raise TimeoutError(f'{address} does not listen')


async def _read_stream(
    session: aiohttp.ClientSession,
    address: str,
    tally: _Tally,
) -> None:
    body = {
        'model': 'slope-model',
        'prompt': 'word ' * 200,
        'max_tokens': 100_000,
        'stream': True,
    }
    async with session.post(
        f'http://{address}/v1/completions',
        data=json.dumps(body),
        headers={'Authorization': f'Bearer {_KEY}'},
    ) as response:
        response.raise_for_status()
        tally.opened += 1
        async for chunk in response.content.iter_any():
            tally.tokens += chunk.count(b'data: {')


async def _count_tokens(
    address: str,
    streams: int,
    pid: int,
) -> tuple[float, int, int]:
    """Return CPU seconds per token, resident bytes, and open streams."""
    tally = _Tally()
    async with create_session() as session:
        tasks = [
            asyncio.create_task(_read_stream(session, address, tally))
            for _ in range(streams)
        ]
        limit = time.monotonic() + 30
        while tally.opened < streams and time.monotonic() < limit:
            await asyncio.sleep(0.05)
        await asyncio.sleep(_SETTLE_SECONDS)
        before, tokens_before = read_usage(pid), tally.tokens
        await asyncio.sleep(_MEASURED_SECONDS)
        after, tokens_after = read_usage(pid), tally.tokens
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    tokens = max(1, tokens_after - tokens_before)
    return (after.cpu - before.cpu) / tokens, after.resident, tally.opened


def measure_idle(sizes: list[int]) -> list[Row]:
    """Measure an instance without callers that polls ``sizes`` engines."""
    return [row for size in sizes for row in _measure_idle(size)]


def _measure_idle(size: int) -> list[Row]:
    with _run_bench_process('source', '--hosts', str(size)) as (source, _):
        with _run_instance(source, size) as (_, process, platform):
            time.sleep(2)
            before = read_usage(process.pid)
            time.sleep(_IDLE_SECONDS)
            after = read_usage(process.pid)
            calls = call_control(platform, 'GET', '/control/calls')
    core = 100 * (after.cpu - before.cpu) / _IDLE_SECONDS
    rows = [
        Row('idle', size, '% of a core', core),
        Row('idle', size, 'MB resident', after.resident / 1e6),
        Row('idle', size, 'MB private', after.private / 1e6),
    ]
    rows += [
        Row('idle', size, f'platform calls in 12 s: {name}'[:_WIDTH], count)
        for name, count in calls.items()
    ]
    return rows


def measure_streams(sizes: list[int]) -> list[Row]:
    """Measure an instance and the relay with several numbers of streams."""
    return [row for size in sizes for row in _measure_size(size)]


def _measure_size(size: int) -> list[Row]:
    interval = max(_MIN_INTERVAL, size / _TOKENS_PER_SECOND)
    pace = ('--interval', str(interval), '--seconds', '60')
    with _run_bench_process('source', *pace) as (source, _):
        with _run_bench_process('relay', '--target', source) as (bare, pid):
            idle = read_usage(pid).resident
            base, base_memory, _ = asyncio.run(_count_tokens(bare, size, pid))
        with _run_instance(source) as (caller, process, _):
            instance_idle = read_usage(process.pid).resident
            instance_cpu, memory, opened = asyncio.run(
                _count_tokens(caller, size, process.pid),
            )
    return [
        Row('streams', size, 'open at the same time', opened),
        Row('streams', size, 'bare relay, us of CPU per token', base * 1e6),
        Row(
            'streams', size, 'instance, us of CPU per token', instance_cpu * 1e6
        ),
        Row('streams', size, 'instance / bare relay', instance_cpu / base),
        Row(
            'streams',
            size,
            'bare relay, KB per stream',
            (base_memory - idle) / size / 1e3,
        ),
        Row(
            'streams',
            size,
            'instance, KB per stream',
            (memory - instance_idle) / size / 1e3,
        ),
    ]
