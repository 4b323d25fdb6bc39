"""The studio deployment of the pages (ramkissoon-glass) on loopback.

Its zones, the speeds and bounds of its sheet, its configuration, and ordinary
short requests.
"""

import asyncio

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
