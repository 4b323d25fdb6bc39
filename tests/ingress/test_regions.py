"""Permitted regions: where calls are served, and through whom they pass."""

import functools
import random
import types

import attrs
import msgspec
import pytest

from kelproad.coordination.ingress.placing.filtering import RegionFilter
from kelproad.coordination.ingress.placing.placement import NoPlacementError
from kelproad.coordination.ingress.streams.progress import Progress
from kelproad.coordination.ingress.tables.tablestates import (
    Revision,
    StoredRow,
)
from kelproad.platform.rows import decode_configuration
from kelproad.platform.settings import parse_node_settings
from kelproad.protocol.connections import ConnectionProgress, current_progress
from kelproad.state.calls import Call
from kelproad.state.declarations import (
    EndpointDeclaration,
    EndpointGroup,
    EndpointKind,
)
from kelproad.state.routes import RoutedWorkspace
from kelproad.transport.deadlines import monotonic
from tests.ingress.test_attempts import build_call
from tests.ingress.test_limited_placement import Site
from tests.ingress.test_tunnels import Instance

REGIONS = types.MappingProxyType(
    {'a1': 'a', 'a2': 'a', 'b1': 'b', 'b2': 'b', 'c1': 'c', 'c2': 'c'}
)
#: A zone that the settings do not list.
UNLISTED = 'x1'
LENGTHS = (500, 150_000, 240_000)
#: Seconds in which a few engines can serve the longest of these.
OBJECTIVE = 20


def permit(regions: str) -> frozenset[str] | None:
    """Build permitted regions from their letters; none permits all."""
    return frozenset(regions) or None


def build_restricted(
    by_route: str, by_workspace: str, tokens: int = 500
) -> Call:
    """Build a call that a route and a workspace restrict."""
    call = build_call()
    call.head = attrs.evolve(call.head, prompt_tokens=tokens)
    call.route = attrs.evolve(
        call.route,
        permitted_regions=permit(by_route),
        max_endpoints=9,
        objective=OBJECTIVE,
    )
    call.workspace = RoutedWorkspace('crews', None, permit(by_workspace))
    return call


def build_site() -> Site:
    """Build a chooser over two engines in each zone."""
    site = Site(REGIONS)
    declarations = [
        EndpointDeclaration(f'{zone}-{number}', zone, '10.0.0.1:80', slots=8)
        for zone in (*REGIONS, UNLISTED)
        for number in range(2)
    ]
    group = EndpointGroup('book', EndpointKind.ENGINE, declarations)
    site.table.replace_groups([group])
    return site


async def test_calls_stay_in_permitted_regions() -> None:
    """Guards against attempts, helpers and memory abroad, retries included."""
    site = build_site()
    generator = random.Random(7)
    choices = ('', 'a', 'b', 'ab', 'bc', 'abc', 'z')
    for _ in range(300):
        by_route, by_workspace = generator.choices(choices, k=2)
        call = build_restricted(
            by_route, by_workspace, generator.choice(LENGTHS)
        )
        permitted = set(by_route or 'abc') & set(by_workspace or 'abc')
        progress = Progress()
        progress.tried.update(generator.sample(list(site.table.all()), 3))
        try:
            placement = await site.chooser.choose(call, progress)
        except NoPlacementError as refusal:
            assert not permitted & set('abc')
            assert not refusal.worth_waiting
            assert refusal.retry_after > 0
            continue
        if by_route or by_workspace:
            regions = {
                REGIONS.get(one.declaration.zone) for one in placement.endpoints
            }
            assert regions <= permitted


async def test_the_region_decides_not_the_distance() -> None:
    """Guards against the own zone for a call that may not be served there."""
    site = build_site()
    for _ in range(10):
        placement = await site.chooser.choose(
            build_restricted('c', ''), Progress()
        )
        assert REGIONS[placement.primary.declaration.zone] == 'c'


async def test_a_call_keeps_what_admitted_it() -> None:
    """Guards against a change of the configuration that binds half a call."""
    site = build_site()
    call = build_restricted('a', '')
    first = await site.chooser.choose(call, Progress())
    call = attrs.evolve(
        call, route=attrs.evolve(call.route, permitted_regions=permit('b'))
    )
    second = await site.chooser.choose(call, Progress())
    assert REGIONS[first.primary.declaration.zone] == 'a'
    assert REGIONS[second.primary.declaration.zone] == 'b'


def test_tunnels_pass_only_through_permitted_regions() -> None:
    """Guards against a body that an instance abroad forwards."""
    here = Instance('here', 'a1')
    for zone in (*REGIONS, UNLISTED):
        here.hear(Instance(f'peer-{zone}', zone))
    regions = RegionFilter(lambda zone: REGIONS.get(zone, ''), random.Random(1))
    for by_route in ('b', 'ab', 'z'):
        call = build_restricted(by_route, '')
        progress = ConnectionProgress(
            permits_zone=functools.partial(regions.permits, call)
        )
        token = current_progress.set(progress)
        entrants = list(here.connector._iterate_entrants(monotonic()))
        current_progress.reset(token)
        peers = [one.peer.instance for one in entrants if one.peer]
        assert bool(peers) is (by_route != 'z')
        assert all(REGIONS[name[-2:]] in by_route for name in peers)


@pytest.mark.parametrize('absent', [{}, {'allowed_regions': None}])
def test_a_configuration_states_permitted_regions(
    absent: dict[str, None],
) -> None:
    """Guards against restrictions that are not read, or invented."""
    route = {
        'name': 'r',
        'host': 'h',
        'path_prefix': '/',
        'route_type': 'idempotent',
        'timeout_ms': 1000,
        'service': 'book',
    }
    document = {
        'version': 1,
        'routes': [
            {**route, 'path_prefix': '/r/', 'allowed_regions': ['a', 'b']},
            {**route, **absent},
            {**route, 'path_prefix': '/e/', 'allowed_regions': []},
        ],
        'services': [{'name': 'book'}],
        'tenants': [
            {'name': 't', 'api_keys': ['k1', 'k2'], 'allowed_regions': ['b']},
            {'name': 'u', 'api_keys': ['k3'], **absent},
        ],
    }
    row = StoredRow('config', msgspec.json.encode(document), Revision(0, 1))
    configuration = decode_configuration(row).unwrap()
    permitted = {
        path: configuration.find_route('h', path).permitted_regions
        for path in ('/r/x', '/x', '/e/x')
    }
    assert permitted == {'/r/x': {'a', 'b'}, '/x': None, '/e/x': None}
    workspaces = configuration.workspaces_by_key
    assert workspaces['k1'].permitted_regions == {'b'}
    assert workspaces['k1'] is workspaces['k2']
    assert workspaces['k3'].permitted_regions is None


def test_settings_list_the_region_of_each_zone() -> None:
    """Guards against a zone whose region nobody knows."""
    text = '\n'.join(
        (
            'node_name=edge-1',
            'zone=a1',
            'region=a',
            'zones.b1=b',
            'zones.b.2=b',
            'ip=10.0.0.1',
            'listen.frontend=10.0.0.1:1',
            'listen.ready=10.0.0.1:2',
            'internal_port_range=7340,7355',
            'platform.address=10.0.0.2:3',
        )
    )
    settings = parse_node_settings(text, 'file').unwrap()
    assert settings.find_region('a1') == 'a'
    assert settings.find_region('b1') == settings.find_region('b.2') == 'b'
    assert not settings.find_region('c1')
