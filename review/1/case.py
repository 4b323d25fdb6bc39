"""A departed engine goes on getting requests from machines without trouble.

One machine's path to the store is cut three times for a sixth of a second.
Meanwhile an engine leaves without having reported that it drains: its entry is
removed, and it serves on for a while.
"""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from harness import *  # noqa

DRAIN_SECONDS = 2.0
CUT_SECONDS = 0.15
#: Seconds from the end of a cut to the next one.
PAUSE_SECONDS = 1.2
CUTS = 3
#: The engine serves on for so long after its entry was removed, then it ends.
SERVES_ON_SECONDS = 4.0
#: Time that it takes to run a request.
WORK_SECONDS = 0.2


async def play(record, trouble):
    site = Site(record)
    engines = [
        PlainEngine(f'i-{number}', 'field-app', record, 'a', WORK_SECONDS) for number in range(1, 5)
    ] + [
        PlainEngine(f'i-{number}', 'other-app', record, 'a') for number in range(5, 25)
    ]
    sent = {}
    #: Status, 0 for none, of the bookings that were not answered with success.
    lost = {}

    async def send_one(instance):
        kind = random.choice(['lookup', 'booking'])
        request_id = new_id()
        sent[request_id] = instance.name
        record.add('sent', request=request_id, to=instance.name, kind=kind)
        method = 'GET' if kind == 'lookup' else 'POST'
        got = await call(instance, method, f'/{kind}/x', request_id, deadline_ms=1000)
        record.add('answered', request=request_id, status=got.status, reason=got.reason)
        if kind == 'booking' and got.status != 200:
            lost[request_id] = got.status

    async def press(instance):
        tasks = set()
        while True:
            task = asyncio.create_task(send_one(instance))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(0.03)

    healed = asyncio.Event()

    async def flap(machine):
        for _ in range(CUTS):
            # Queries follow each other some 0.42 s apart: the cut is to meet the
            # next one.
            if not await site.await_query(machine):
                record.add('another machine reads the entries')
                return
            await asyncio.sleep(0.35)
            record.add('cut from the store, with resets', machine=machine)
            site.proxies[machine].cut('reset')
            await asyncio.sleep(CUT_SECONDS)
            site.proxies[machine].heal()
            record.add('healed', machine=machine)
            healed.set()
            await asyncio.sleep(PAUSE_SECONDS)

    try:
        await site.start(
            ['a', 'a', 'a'], engines,
            [
                route('lookup', 'field-app'),
                route('booking', 'field-app', 'non_idempotent'),
            ],
            [{'name': 'field-app'}, {'name': 'other-app'}],
        )
        pressing = [asyncio.create_task(press(one)) for one in site.instances]
        await asyncio.sleep(8)
        reader = site.find_reader()
        record.add('reads the entries for all', machine=reader)
        flapping = asyncio.create_task(flap(reader)) if trouble else None
        if trouble:
            await healed.wait()
        await asyncio.sleep(0.15)
        gone = engines[3]
        site.quiet.add(gone.name)
        removed = site.store.remove(('servers', gone.name))
        record.add('entry removed', engine=gone.name)
        await asyncio.sleep(SERVES_ON_SECONDS)
        gone.stop()
        record.add('the engine has ended', engine=gone.name)
        await asyncio.sleep(1)
        if flapping is not None:
            await flapping
        for one in pressing:
            one.cancel()
        breaches = []
        for at, request_id in gone.arrivals:
            machine = sent.get(request_id)
            if at > removed + DRAIN_SECONDS and machine not in (None, reader):
                breaches.append(
                    f'request {request_id} reached {gone.name} {at - removed:.3f} s'
                    f' after its entry was removed, sent on by {machine}'
                )
        late = {request_id for at, request_id in gone.arrivals if at > removed + DRAIN_SECONDS}
        taken = [request_id for request_id in lost if request_id in late]
        record.add('bookings lost with the engine', count=len(taken), requests=','.join(taken))
        last = max(at for at, _ in gone.arrivals) - removed
        record.add('last arrival at the engine', after=f'{last:.3f}')
        return breaches
    finally:
        site.stop()


main(play, pathlib.Path(__file__).resolve().parent)
