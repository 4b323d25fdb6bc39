"""Memory per table entry, and CPU time per decision and change."""

import asyncio
import hashlib
import random
import time
import tracemalloc
from collections.abc import Callable
from typing import TypeVar

import yaml

from kelproad.coordination.loading import build_file
from kelproad.coordination.routing import choose_endpoint
from kelproad.protocol.messages import Changes, FileChange, encode_message
from kelproad.state.configuration import AppliedFile, Snapshot, extend_snapshot
from kelproad.state.declarations import (
    EndpointDeclaration,
    EndpointGroup,
    EndpointKind,
    FileContent,
    Service,
    ServiceKind,
    Workspace,
)
from kelproad.state.endpoints import EndpointReport, EndpointTable
from kelproad.state.requests import Request

from .slopes_usage import Row

__all__ = ['measure_endpoints', 'measure_workspaces']

_ZONES = 8
_MODELS = 8
_REPEATS = 200
Built = TypeVar('Built')


def measure_endpoints(sizes: list[int]) -> list[Row]:
    """Measure memory of the endpoint table and CPU time of a decision."""
    return [row for size in sizes for row in _measure_endpoints(size)]


def _measure_endpoints(size: int) -> list[Row]:
    content = _declare_endpoints(size)
    applied = AppliedFile('endpoints', 1, 1, 'd', '', content)
    snapshot = Snapshot.from_files(1, {'endpoints': applied})
    table, held = _measure_memory(lambda: _fill_table(snapshot))
    request = _create_request(snapshot)
    generator = random.Random(size)
    assert choose_endpoint(request, table, 'zone-0', 10, generator).unwrap()
    seconds = _measure_cpu(
        lambda: choose_endpoint(
            request,
            table,
            'zone-0',
            10,
            generator,
        ),
    )
    return [
        Row(
            'endpoints',
            size,
            'bytes per entry, with its report',
            held / size,
        ),
        Row('endpoints', size, 'us of CPU per routing decision', seconds * 1e6),
    ]


def measure_workspaces(sizes: list[int]) -> list[Row]:
    """Measure memory of the snapshot, and the cost of one change."""
    return [row for size in sizes for row in _measure_workspaces(size)]


def _measure_workspaces(size: int) -> list[Row]:
    texts = [_build_workspace_text(number) for number in range(size)]
    files, held = _measure_memory(lambda: _build_files(texts))
    started = time.process_time()
    _build_files(texts)
    parsing = (time.process_time() - started) / size
    snapshot = extend_snapshot(Snapshot.empty(), files, size)
    changed = files[0]
    changed_file = AppliedFile(
        changed.name,
        2,
        size + 1,
        changed.digest,
        changed.text,
        changed.content,
    )
    seconds = _measure_cpu(
        lambda: extend_snapshot(snapshot, [changed_file], size + 1)
    )
    return [
        Row(
            'workspaces',
            size,
            'bytes of the snapshot per workspace',
            held / size,
        ),
        Row('workspaces', size, 'ms of CPU to parse a file', parsing * 1e3),
        Row(
            'workspaces',
            size,
            'ms of CPU to apply one change',
            seconds * 1e3,
        ),
        Row(
            'workspaces',
            size,
            'bytes of one change to a peer',
            _measure_message([changed_file]),
        ),
        Row(
            'workspaces',
            size,
            'bytes of all files to a peer',
            _measure_message(files),
        ),
    ]


def _declare_endpoints(size: int) -> FileContent:
    groups = []
    for model in range(_MODELS):
        endpoints = [
            EndpointDeclaration(
                f'engine-zone-{number % _ZONES}-{number}',
                f'zone-{number // _MODELS % _ZONES}',
                f'10.{number // 250}.{number % 250}.1:8000',
            )
            for number in range(model, size, _MODELS)
        ]
        groups.append(
            EndpointGroup(f'group-{model}', EndpointKind.ENGINE, endpoints),
        )
    services = [
        Service(
            f'service-{model}',
            ServiceKind.MODEL,
            [f'group-{model}'],
            model=f'model-{model}',
        )
        for model in range(_MODELS)
    ]
    return FileContent('endpoints', services=services, endpoint_groups=groups)


def _fill_table(snapshot: Snapshot) -> EndpointTable:
    table = EndpointTable()
    table.replace_groups(snapshot.groups.values())
    for model in range(_MODELS):
        for endpoint in table.in_group(f'group-{model}'):
            report = EndpointReport(
                endpoint.name,
                str(time.time_ns()),
                waiting_tokens=random.randrange(10_000),
                running=20,
                used_tokens=200_000,
                models=[f'model-{model}'],
            )
            endpoint.accept_report(report, 9)
    return table


def _create_request(snapshot: Snapshot) -> Request:
    return Request(
        request_id='slope',
        workspace=Workspace('w', [], []),
        service=snapshot.services['service-0'],
        snapshot=snapshot,
        prompt_tokens=3000,
        deadline=100,
        arrived=0,
    )


def _build_workspace_text(number: int) -> str:
    digest = hashlib.sha256(str(number).encode()).hexdigest()
    workspace = {
        'name': f'workspace-{number}',
        'key_digests': [digest],
        'services': ['reports', 'crew'],
        'limits': {'requests_per_second': 200, 'tokens_in_flight': 300_000},
        'weight': 2,
    }
    content = {'name': f'workspace-{number}', 'workspaces': [workspace]}
    return yaml.safe_dump(content, sort_keys=False)


def _build_files(texts: list[str]) -> list[AppliedFile]:
    return asyncio.run(_parse_files(texts))


async def _parse_files(texts: list[str]) -> list[AppliedFile]:
    return [
        await build_file(
            f'workspace-{number}',
            1,
            number + 1,
            hashlib.sha256(text.encode()).hexdigest(),
            text,
        )
        for number, text in enumerate(texts)
    ]


def _measure_message(files: list[AppliedFile]) -> int:
    changes = [
        FileChange(
            item.name,
            item.generation,
            item.revision,
            item.digest,
            item.text,
        )
        for item in files
    ]
    return len(encode_message(Changes('slope', 0, 1, changes), b'key'))


def _measure_memory(build: Callable[[], Built]) -> tuple[Built, int]:
    tracemalloc.start()
    built = build()
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return built, held


def _measure_cpu(action: Callable[[], object]) -> float:
    started = time.process_time()
    for _ in range(_REPEATS):
        action()
    return (time.process_time() - started) / _REPEATS
