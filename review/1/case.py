"""A departed engine goes on getting requests from machines without trouble.

One machine's path to the store is cut three times for a sixth of a second, and
that in three rounds.  In each round an engine leaves without having reported
that it drains: its entry is removed, and it serves on for a while.
"""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from harness import *  # noqa

DRAIN_SECONDS = 2.0
ANSWER_SECONDS = 0.009
CUT_SECONDS = 0.15
#: Seconds from the end of a cut to the next one.
PAUSE_SECONDS = 1.2
CUTS = 3
#: Engines that leave, one after the other, each beside three cuts.
ROUNDS = 3
STABILITY_SECONDS = 3.0
#: The engine serves on for so long after its entry was removed; then it ends,
#: once it has answered what it has.
SERVES_ON_SECONDS = 4.0
#: Time that it takes to run a request.
WORK_SECONDS = 0.045


async def play(record, trouble):
    site = Site(record)
    engines = [
        PlainEngine(f'i-{number}', 'field-app', record, 'a', WORK_SECONDS) for number in range(1, 7)
    ] + [
        PlainEngine(f'i-{number}', 'other-app', record, 'a') for number in range(7, 27)
    ]
    sent = {}

    async def send_one(instance):
        kind = random.choice(['lookup', 'booking'])
        request_id = new_id()
        sent[request_id] = instance.name
        record.add('sent', request=request_id, to=instance.name, kind=kind)
        method = 'GET' if kind == 'lookup' else 'POST'
        got = await call(instance, method, f'/{kind}/x', request_id, deadline_ms=1000)
        record.add('answered', request=request_id, status=got.status, reason=got.reason)

    async def press(instance):
        tasks = set()
        while True:
            task = asyncio.create_task(send_one(instance))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(0.04)

    async def flap(machine, healed):
        for _ in range(CUTS):
            # Queries follow each other some 0.42 s apart: the cut is to meet the
            # next one.
            if not await site.await_query(machine):
                record.add('another machine reads the entries')
                healed.set()
                return
            await asyncio.sleep(0.35)
            record.add('cut from the store, with resets', machine=machine)
            site.proxies[machine].cut('reset')
            await asyncio.sleep(CUT_SECONDS)
            site.proxies[machine].heal()
            record.add('healed', machine=machine)
            healed.set()
            await asyncio.sleep(PAUSE_SECONDS)

    async def play_round(gone):
        """Let an engine leave while one machine's path fails now and then."""
        reader = site.find_reader()
        record.add('reads the entries for all', machine=reader)
        healed = asyncio.Event()
        if trouble:
            flapping = asyncio.create_task(flap(reader, healed))
            await healed.wait()
        await asyncio.sleep(0.15)
        site.quiet.add(gone.name)
        gone.leaving = True
        # The store's answer takes 9 ms: 5 for the transaction, 4 to answer.
        removed = ANSWER_SECONDS + site.store.remove(('servers', gone.name))
        record.add('entry removed', engine=gone.name)
        await asyncio.sleep(SERVES_ON_SECONDS)
        await gone.end()
        record.add('the engine has ended', engine=gone.name)
        await asyncio.sleep(1)
        if trouble:
            await flapping
        breaches = []
        for at, request_id in gone.arrivals:
            if at <= removed + DRAIN_SECONDS:
                continue
            machine = sent.get(request_id)
            if machine not in (None, reader):
                breaches.append(
                    f'request {request_id} reached {gone.name} {at - removed:.3f} s'
                    f' after its entry was removed, sent on by {machine}'
                )
        last = max(at for at, _ in gone.arrivals) - removed
        record.add('last arrival at the engine', after=f'{last:.3f}')
        return breaches

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
        breaches = []
        for gone in engines[:ROUNDS]:
            breaches += await play_round(gone)
            # The machine that was cut is in touch again after this.
            await asyncio.sleep(STABILITY_SECONDS + 0.5)
        for one in pressing:
            one.cancel()
        return breaches
    finally:
        site.stop()


main(play, pathlib.Path(__file__).resolve().parent)
