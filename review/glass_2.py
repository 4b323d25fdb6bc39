"""The studio deployment of the pages (ramkissoon-glass) on loopback.

Sixteen model engines in three zones, three instances, ordinary short requests
and large prompts that need the memory of several engines.
"""

import asyncio
import contextlib

import world_2 as w

#: Zones, engines of each, speeds and bounds of the sheet.
ZONES = ('tt-north-a', 'tt-north-b', 'tt-north-c')
ENGINES = (6, 5, 5)
PROFILE = {
    'slots': 8,
    'kv_capacity': 232_000,
    'stride': 43,
    'step_ms': 1.02,
    'per_seq_ms': 0.00452,
    'context_per_k': 0.00431,
    'read_per_s': 206_000.0,
    'pairs_per_m': 0.138,
    'hop_ms': 0.075,
}
BOUNDS = {
    'grace_s': 8,
    'stability_window_ms': 3000,
    'drain_ms': 2000,
    'config_apply_ms': 2000,
    'revoke_ms': 5000,
    'retry_budget_ratio': 0.2,
    'retry_window_s': 10,
    'retry_slack': 106,
    'stall_ms': 1500,
    'hold_max_ms': 20000,
    'free_ms': 4000,
    'idle_max_ms': 9000,
}
#: Longest gap after which clients leave: four times the objective of 3 s.
SILENCE_SECONDS = 12.0
DEADLINE_MS = 15_000
LARGE_TOKENS = 520_000


def build_configuration():
    """Build the operator's configuration."""
    route = {
        'host': w.HOST,
        'route_type': 'streaming',
        'priority': 1,
        'service': 'kiln-voice',
        'max_attempts': 2,
        'anonymous': False,
        'session_affinity': True,
        'stream_resume': True,
    }
    return {
        'version': 7,
        'routes': [
            {
                **route,
                'name': 'guest-chat',
                'path_prefix': '/chat/',
                'timeout_ms': 10_000,
                'target_latency_ms': 300,
                'target_gap_ms': 250,
            },
            {
                **route,
                'name': 'binder-digest',
                'path_prefix': '/digest/',
                'timeout_ms': 15_000,
                'target_latency_ms': 3000,
                'target_gap_ms': 1000,
            },
        ],
        'services': [
            {
                'name': 'kiln-voice',
                'health_path': '/healthz',
                'max_connections': 274,
                'engine': {
                    **PROFILE,
                    'usual': {'prompt': 12_328, 'answer': 1303},
                    'delays': [],
                },
            }
        ],
        'limits': {
            'max_header_bytes': 16_384,
            'max_body_bytes': 4_194_304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15_000,
        },
        'tenants': [{'name': w.TENANT, 'api_keys': [w.KEY]}],
    }


async def start_world(record, folder):
    """Start store, engines and instances."""
    world = w.World(record, folder, ZONES, BOUNDS)
    await world.store.start()
    await world.store.put('op', 'config', build_configuration())
    for zone, count in zip(ZONES, ENGINES, strict=True):
        for number in range(count):
            engine = w.Engine(
                world, f'i-{zone[-1]}{number}', zone, PROFILE, 'kiln-voice'
            )
            world.engines.append(engine)
            await engine.start()
            world.by_address[engine.address] = engine
    await world.start_instances(3)
    return world


async def chat(world):
    """Send ordinary short requests, three a second, until cancelled."""
    sent = set()
    try:
        while True:
            for instance in world.instances:
                task = asyncio.create_task(
                    w.stream(world, instance, '/chat/2f', 4960, 10_000, 2.0, 1376)
                )
                sent.add(task)
                task.add_done_callback(sent.discard)
                await asyncio.sleep(1 / 3)
    finally:
        for task in list(sent):
            task.cancel()


def arm(engines, trouble):
    """Let the engine that gets the next large prompt meet the trouble, once."""
    armed = [True]

    def choose(received):
        tokens = int(received.headers['x-kelproad-token-count'].split(',')[0])
        if tokens == LARGE_TOKENS and armed:
            armed.clear()
            return trouble
        return ''

    for engine in engines:
        engine.choose_trouble = choose


async def play_large(record, folder, trouble):
    """Send three large prompts; the first engine of each meets the trouble.

    Returns the world, with all reservations that its engines had.
    """
    world = await start_world(record, folder)
    beating = asyncio.create_task(world.keep_beating())
    chatting = asyncio.create_task(chat(world))
    try:
        await asyncio.sleep(3)
        for instance in world.instances:
            if trouble:
                arm(world.engines, trouble)
            await w.stream(
                world,
                instance,
                '/digest/2f',
                LARGE_TOKENS,
                DEADLINE_MS,
                SILENCE_SECONDS,
            )
            await asyncio.sleep(4)
        await asyncio.sleep(3)
    finally:
        for task in (beating, chatting):
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task
        world.stop()
    return world
