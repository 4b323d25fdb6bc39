"""A small deployment on loopback for the cases 6 to 10.

The project's program runs as separate processes, with the command of the deploy
file.  The platform's store, the engines, the operator and the clients are
stand-ins in this process.  They need nothing but the standard library, and do
what the users' pages say: rows with versions and a feed, engines that reserve
memory, read a prompt together and write numbered events.
"""

import asyncio
import atexit
import base64
import contextlib
import json
import os
import pathlib
import secrets
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = 'front.example'
KEY = 'n2ctnfzs989anu6wsjnb'
TENANT = 'hule930'
HEARTBEAT_SECONDS = 1.2
SILENT_BEATS = 3
NOT_EXECUTED = {'X-Kelproad-Not-Executed': '1'}
#: Deployments whose processes are ended with this one.
WORLDS = []
#: Exit code where the rule was broken; an error of the interpreter gives 1.
BROKEN = 10


def now():
    """Return the steady time in seconds."""
    return time.monotonic()


def free_host():
    """Choose a loopback address that nothing else uses, most probably."""
    numbers = (str(20 + secrets.randbelow(200)) for _ in range(3))
    return '.'.join(('127', *numbers))


def free_port(host):
    """Find a free port of an address."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


class Record:
    """What is sent, answered and run, in ``record.txt``."""

    def __init__(self, path):
        """Write to a file."""
        self._began = now()
        self._file = open(path, 'w', encoding='utf-8')

    def __call__(self, text):
        """Write a line with the seconds since the start."""
        self._file.write(f'{now() - self._began:8.3f} {text}\n')
        self._file.flush()

    def at(self, moment):
        """Convert a steady time to the seconds of the record."""
        return moment - self._began


class Request:
    """The head and the body of a request."""

    def __init__(self, method, target, headers, body):
        """Keep the parts; names of headers are in lower case."""
        self.method = method
        self.target = target
        self.path, _, query = target.partition('?')
        self.headers = headers
        self.body = body
        pairs = (item.partition('=') for item in query.split('&') if item)
        self.query = {name: text for name, _, text in pairs}


async def read_request(reader):
    """Read a request, ``None`` at the end of the connection."""
    head = await reader.readuntil(b'\r\n\r\n')
    lines = head.decode('latin-1').split('\r\n')
    method, target, _ = lines[0].split(' ', 2)
    headers = {}
    for line in filter(None, lines[1:]):
        name, _, text = line.partition(':')
        headers[name.strip().lower()] = text.strip()
    body = b''
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            piece = await reader.readexactly(size + 2)
            if not size:
                break
            body += piece[:-2]
    else:
        body = await reader.readexactly(int(headers.get('content-length', 0)))
    return Request(method, target, headers, body)


async def read_end(reader):
    """Wait until the other side closes or resets the connection."""
    with contextlib.suppress(OSError):
        await reader.read(1)


def encode_head(status, headers):
    """Encode the head of an answer."""
    lines = [f'HTTP/1.1 {status} Status']
    lines += [f'{name}: {text}' for name, text in headers.items()]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode()


def encode_answer(status, body=b'', headers=None):
    """Encode a whole answer."""
    fields = {'Content-Length': str(len(body)), **(headers or {})}
    return encode_head(status, fields) + body


def encode_json(status, document):
    """Encode a whole answer with a JSON body."""
    body = json.dumps(document).encode()
    return encode_answer(status, body, {'Content-Type': 'application/json'})


async def serve(host, port, answer):
    """Serve connections; ``answer`` gets a request, reader and writer."""

    async def handle(reader, writer):
        try:
            while True:
                received = await read_request(reader)
                if not await answer(received, reader, writer):
                    break
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(handle, host, port)


class Store:
    """The platform's store: rows with versions from one counter, and a feed."""

    def __init__(self):
        """Start empty."""
        self.rows = {}
        self.history = []
        self.version = 0
        self._changed = asyncio.Condition()
        self.address = ''

    async def start(self):
        """Listen on a free port."""
        port = free_port('127.0.0.1')
        self.address = f'127.0.0.1:{port}'
        await serve('127.0.0.1', port, self._answer)

    async def put(self, table, key, document, part=''):
        """Write a row; return the time of the acknowledgement."""
        value = base64.b64encode(json.dumps(document).encode()).decode()
        await self._write([(table, part, key, value)])
        return now()

    async def drop(self, table, key, part=''):
        """Remove a row; return the time of the acknowledgement."""
        await self._write([(table, part, key, None)])
        return now()

    async def _write(self, changes):
        self.version += 1
        for table, part, key, value in changes:
            row = {
                'table': table,
                'part': part,
                'key': key,
                'row_version': self.version,
            }
            if value is None:
                self.rows.pop((table, part, key), None)
                row['deleted'] = True
            else:
                row['value'] = value
                self.rows[table, part, key] = row
            self.history.append(row)
        async with self._changed:
            self._changed.notify_all()

    async def _answer(self, received, _reader, writer):
        await asyncio.sleep(0.004)
        if received.path == '/-/rows-get':
            answer = self._get(received.query)
        elif received.path == '/-/rows-feed':
            answer = await self._feed(received.query)
        elif received.path == '/-/rows-tx':
            answer = await self._transact(json.loads(received.body))
        else:
            answer = encode_json(404, {})
        writer.write(answer)
        await writer.drain()
        return True

    def _reply(self, status, rows, has_more=False):
        return encode_json(
            status,
            {
                'rows': rows,
                'has_more': has_more,
                'row_version': self.version,
                'now_ms': int(now() * 1000),
            },
        )

    def _get(self, query):
        first = query.get('from', '')
        found = [
            row
            for (table, part, key), row in sorted(self.rows.items())
            if table == query['table']
            and part == query.get('part', '')
            and key >= first
        ]
        limit = min(500, int(query.get('limit', 500)))
        return self._reply(200, found[:limit], len(found) > limit)

    async def _feed(self, query):
        after = int(query['after_revision'])
        ends_at = now() + int(query.get('wait_ms', 0)) / 1000
        while True:
            found = [
                row
                for row in self.history
                if row['table'] == query['table'] and row['row_version'] > after
            ]
            left = ends_at - now()
            if found or left <= 0:
                return self._reply(200, found)
            with contextlib.suppress(asyncio.TimeoutError):
                async with self._changed:
                    await asyncio.wait_for(self._changed.wait(), left)

    async def _transact(self, entries):
        expected = entries.get('expected_revision', [])
        for row in expected:
            name = (row['table'], row.get('part', ''), row['key'])
            held = self.rows.get(name, {}).get('row_version', 0)
            if held != row['row_version']:
                return self._reply(412, [])
        changes = [
            (row['table'], row.get('part', ''), row['key'], row['value'])
            for row in entries.get('puts', [])
        ]
        changes += [
            (row['table'], row.get('part', ''), row['key'], None)
            for row in entries.get('remove', [])
        ]
        if any(change[0] in {'op', 'servers'} for change in changes):
            return encode_json(403, {})
        await self._write(changes)
        return self._reply(200, [])


class Ticket:
    """Memory that is set aside, with the spans in which requests used it."""

    def __init__(self, name, tokens, expires_at):
        """Set memory aside."""
        self.name = name
        self.tokens = tokens
        self.expires_at = expires_at
        self.since = now()
        self.until = None
        self.uses = []
        self.renewals = 0

    @property
    def is_used(self):
        """Whether a request uses it now."""
        return any(ended is None for _, ended in self.uses)

    def describe(self, record):
        """Describe it in a line."""
        uses = ', '.join(
            f'{record.at(began):.2f} to '
            + (f'{record.at(ended):.2f}' if ended else 'now')
            for began, ended in self.uses
        )
        until = f'{record.at(self.until):.2f}' if self.until else 'now'
        return (
            f'ticket {self.name}: {self.tokens} tokens set aside '
            f'{record.at(self.since):.2f} to {until}, '
            f'{self.renewals} renewals, used: {uses or "never"}'
        )


class Engine:
    """A model engine: memory, parts of prompts, numbered events."""

    def __init__(self, world, name, zone, profile, service):
        """Describe an engine; it listens once it is started."""
        self.world = world
        self.name = name
        self.zone = zone
        self.profile = profile
        self.service = service
        self.address = ''
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.tickets = {}
        self.all_tickets = []
        self.running = 0
        self.arrived = 0

    async def start(self):
        """Listen, and register in the store."""
        host = free_host()
        port = free_port(host)
        self.address = f'{host}:{port}'
        await serve(host, port, self._answer)
        await self.beat()

    async def beat(self):
        """Write the entry in the store."""
        self.sequence += 1
        await self.world.store.put(
            'servers',
            self.name,
            {
                'service': self.service,
                'address': self.address,
                'zone': self.zone,
                'version': 'v1',
                'slots': self.profile['slots'],
                'state': 'ready',
                'warmup_left_ms': 0,
                'sequence': self.sequence,
                'born': self.born,
            },
        )

    def expire(self):
        """End the reservations whose time has passed."""
        for ticket in list(self.tickets.values()):
            if ticket.expires_at <= now():
                self._end_ticket(ticket, ticket.expires_at)

    def _end_ticket(self, ticket, moment):
        ticket.until = moment
        self.tickets.pop(ticket.name, None)
        self.world.record(f'{self.name}: free again, {ticket.describe(self.world.record)}')

    def _free(self):
        held = sum(ticket.tokens for ticket in self.tickets.values())
        return self.profile['kv_capacity'] - held

    async def _answer(self, received, reader, writer):
        self.expire()
        if received.path == '/-/report':
            answer = encode_json(200, self._report())
        elif received.path == '/-/order':
            answer = self._order(json.loads(received.body))
        else:
            await self._run(received, reader, writer)
            return False
        writer.write(answer)
        await writer.drain()
        return True

    def _report(self):
        return {
            'stage': 'both',
            'models': [{'name': 'm', 'version': 1, 'adapters': []}],
            'busy': False,
            'sequence': 0,
            'queued': 0,
            'running': self.running,
            'kv_used': self.profile['kv_capacity'] - self._free(),
            'kv_total': self.profile['kv_capacity'],
            'handles': 0,
            'pace': 1.0,
            'born': self.born,
            'tickets': [
                {
                    'id': ticket.name,
                    'token_count': ticket.tokens,
                    'state': 'used' if ticket.is_used else 'held',
                    'age_ms': int((now() - ticket.since) * 1000),
                }
                for ticket in self.tickets.values()
            ],
        }

    def _order(self, order):
        if order['operation'] == 'release':
            ticket = self.tickets.get(order['id'])
            if ticket is not None:
                self._end_ticket(ticket, now())
            return encode_json(200, {'free': self._free(), 'born': self.born})
        if order['operation'] != 'reserve':
            return encode_json(400, {})
        known = self.tickets.get(order['id'])
        held = known.tokens if known else 0
        if order['token_count'] > self._free() + held:
            return encode_json(409, {'free': self._free(), 'born': self.born})
        expires_at = now() + order['hold_ms'] / 1000
        if known is None:
            known = Ticket(order['id'], order['token_count'], expires_at)
            self.tickets[known.name] = known
            self.all_tickets.append(known)
            self.world.record(
                f'{self.name}: {known.tokens} tokens set aside as {known.name}'
            )
        else:
            known.expires_at = expires_at
            known.renewals += 1
        return encode_json(200, {'free': self._free(), 'born': self.born})

    def _list_helpers(self, received):
        """Return the helpers and tickets of a request, or who is at fault."""
        helpers = []
        for entry in received.headers.get('x-kelproad-helpers', '').split(','):
            address, _, name = entry.strip().partition('/')
            if not address:
                continue
            engine = self.world.by_address.get(address)
            ticket = engine.tickets.get(name) if engine else None
            if engine is None or (name and ticket is None):
                return [], address
            helpers.append((engine, ticket))
        return helpers, ''

    def _predict_prefill(self, tokens, parts):
        pairs = tokens * tokens / 2 / 1e6
        seconds = (
            tokens / self.profile['read_per_s']
            + pairs * self.profile['pairs_per_m'] / 1000
        )
        return seconds / parts

    async def _run(self, received, reader, writer):
        request_id = received.headers.get('x-kelproad-request-id', '')
        self.arrived += 1
        if received.headers.get('x-kelproad-expect-instance', self.name) != self.name:
            writer.write(encode_answer(421, b'', {'X-Kelproad-Instance-Id': self.name}))
            return
        helpers, fault = self._list_helpers(received)
        if fault or self.running >= self.profile['slots']:
            at_fault = {'At-Server': fault} if fault else {}
            writer.write(encode_answer(503, b'', {**NOT_EXECUTED, **at_fault}))
            return
        left = asyncio.create_task(read_end(reader))
        work = asyncio.create_task(
            self._write(received, request_id, helpers, writer)
        )
        await asyncio.wait((left, work), return_when=asyncio.FIRST_COMPLETED)
        if not work.done():
            work.cancel()
            await asyncio.wait((work,))
        left.cancel()

    async def _write(self, received, request_id, helpers, writer):
        tokens, _ = received.headers['x-kelproad-token-count'].split(',')
        tickets = [ticket for _, ticket in helpers if ticket is not None]
        began = now()
        spans = []
        for ticket in tickets:
            span = [began, None]
            ticket.uses.append(span)
            spans.append(span)
        self.running += 1
        outcome = 'broken off'
        try:
            parts = len(helpers) + 1
            await asyncio.sleep(self._predict_prefill(int(tokens), parts))
            head = {
                'X-Kelproad-Request-Id': request_id,
                'X-Kelproad-Server-Stamp': f'stamp.{self.name}.{request_id}',
                'Content-Type': 'text/event-stream',
                'Transfer-Encoding': 'chunked',
            }
            last = int(received.headers.get('last-event-id', 0))
            writer.write(encode_head(200, head))
            for number in range(last + 1, self.world.events + 1):
                await asyncio.sleep(self.world.event_seconds)
                event = f'id: {number}\ndata: piece {number}\n\n'.encode()
                writer.write(b'%x\r\n%s\r\n' % (len(event), event))
                await writer.drain()
            writer.write(b'0\r\n\r\n')
            await writer.drain()
            outcome = 'ran to its end'
        except OSError:
            pass
        finally:
            self.running -= 1
            ended = now()
            for span in spans:
                span[1] = ended
            self.world.record(
                f'{self.name}: {request_id} with {tokens} tokens {outcome}, '
                f'on {len(helpers) + 1} engines, {len(tickets)} tickets, '
                f'{ended - began:.2f} s'
            )


class PlainServer(Engine):
    """An engine of a plain service: one whole answer to each request."""

    work_seconds = 0.045

    def __init__(self, world, name, zone, service, slots=6):
        """Describe a server; it listens once it is started."""
        super().__init__(
            world, name, zone, {'slots': slots, 'kv_capacity': 0}, service
        )
        #: Ids of the requests that it ran, in order.
        self.ran = []

    def _order(self, order):
        """Refuse all orders: there are none for a plain service."""
        return encode_json(400, {})

    async def _run(self, received, reader, writer):
        request_id = received.headers.get('x-kelproad-request-id', '')
        self.arrived += 1
        if received.headers.get('x-kelproad-expect-instance', self.name) != self.name:
            writer.write(encode_answer(421, b'', {'X-Kelproad-Instance-Id': self.name}))
            return
        if self.running >= self.profile['slots']:
            writer.write(encode_answer(503, b'', NOT_EXECUTED))
            return
        self.running += 1
        self.ran.append(request_id)
        try:
            await asyncio.sleep(self.work_seconds)
        finally:
            self.running -= 1
        writer.write(self.build_answer(received, request_id))
        await writer.drain()

    def build_answer(self, received, request_id):
        """Build the whole answer to a request."""
        head = {
            'X-Kelproad-Request-Id': request_id,
            'X-Kelproad-Server-Stamp': f'stamp.{self.name}.{request_id}',
            'Content-Type': 'text/plain',
        }
        return encode_answer(200, b'z' * 800, head)


class Instance:
    """One process of the project's program."""

    def __init__(self, world, number, zone):
        """Choose the addresses."""
        self.world = world
        self.name = f'edge-{zone}-{number}'
        self.zone = zone
        self.host = free_host()
        self.frontend = f'{self.host}:{free_port(self.host)}'
        self.ready = f'{self.host}:{free_port(self.host)}'
        self.process = None

    def start(self):
        """Start the process with the command of the deploy file."""
        settings = self.world.folder / f'{self.name}.conf'
        lines = [
            f'node_name={self.name}',
            'role=entry',
            'machine_class=edge',
            'serves=edge',
            f'ip={self.host}',
            f'zone={self.zone}',
            'region=region-1',
            *(f'zones.{zone}=region-1' for zone in self.world.zones),
            f'listen.frontend={self.frontend}',
            f'listen.ready={self.ready}',
            'internal_port_range=7340,7355',
            f'seeds={",".join(f"{one.host}:8229" for one in self.world.instances[:3])}',
            'initial_start=true',
            'limits.memory_mb=300',
            'limits.max_fds=4100',
            *(f'bounds.{name}={text}' for name, text in self.world.bounds.items()),
            f'platform.address={self.world.store.address}',
            'platform.form=table',
        ]
        settings.write_text('\n'.join(lines) + '\n')
        log = open(self.world.folder / f'{self.name}.log', 'ab')
        kept = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        self.process = subprocess.Popen(
            ['python3', 'deploy/kelproad.py'],
            cwd=ROOT,
            env={
                **kept,
                'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                'KELPROAD_NODE_FILE': str(settings),
            },
            stdout=log,
            stderr=log,
        )

    def signal(self, number):
        """Send a signal to the process."""
        self.process.send_signal(number)

    async def is_ready(self):
        """Return whether the readiness check succeeds."""
        host, _, port = self.ready.rpartition(':')
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b'GET /-/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n')
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
        except (OSError, asyncio.TimeoutError):
            return False
        return b' 200 ' in line


class World:
    """Store, engines, instances and clients together."""

    def __init__(self, record, folder, zones, bounds):
        """Describe a deployment; nothing runs yet."""
        self.record = record
        self.folder = folder
        self.zones = zones
        self.bounds = bounds
        self.store = Store()
        self.engines = []
        self.by_address = {}
        self.instances = []
        WORLDS.append(self)
        self.events = 16
        self.event_seconds = 0.05
        self._ids = 0

    def next_id(self):
        """Return an id for a client attempt."""
        self._ids += 1
        return f'{self._ids:04x}{secrets.token_hex(6)}'

    async def start_instances(self, count):
        """Start instances, and wait until all are ready."""
        for number in range(count):
            zone = self.zones[number % len(self.zones)]
            self.instances.append(Instance(self, number + 1, zone))
        for instance in self.instances:
            instance.start()
        ends_at = now() + 25
        while not all([await one.is_ready() for one in self.instances]):
            if now() > ends_at:
                raise RuntimeError('the instances are not ready')
            await asyncio.sleep(0.1)
        self.record(f'{count} instances are ready')

    async def keep_beating(self):
        """Let all engines write their entries, until cancelled."""
        while True:
            for engine in self.engines:
                await engine.beat()
                await asyncio.sleep(HEARTBEAT_SECONDS / len(self.engines))
                for one in self.engines:
                    one.expire()

    def stop(self):
        """End all processes that were started."""
        for instance in self.instances:
            if instance.process is not None and instance.process.poll() is None:
                instance.process.send_signal(signal.SIGCONT)
                instance.process.kill()
                instance.process.wait()


async def stream(world, instance, path, tokens, deadline_ms, silence, answer=800):
    """Send a streaming request as a client; leave after a long silence.

    Returns
    -------
    tuple
        Status, numbers of the events, whether the answer is complete.
    """
    request_id = world.next_id()
    host, _, port = instance.frontend.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    body = b'x' * 200
    part = secrets.token_hex(4)
    head = {
        'Host': HOST,
        'X-Kelproad-Request-Id': request_id,
        'X-Kelproad-Model': 'm',
        'X-Kelproad-Token-Count': f'{tokens},{answer}',
        'X-Kelproad-Prompt-Prefix': f'5c1e07a2:40,{part}:{tokens - 40}',
        'X-Kelproad-Deadline-Ms': str(deadline_ms),
        'X-Api-Key': KEY,
        'Content-Length': str(len(body)),
    }
    lines = ''.join(f'{name}: {text}\r\n' for name, text in head.items())
    writer.write(f'POST {path} HTTP/1.1\r\n{lines}\r\n'.encode() + body)
    sent_at = now()
    status, numbers, complete, ended = 0, [], False, 'closed'
    received = b''
    try:
        while not complete:
            piece = await asyncio.wait_for(reader.read(65536), silence)
            if not piece:
                break
            received += piece
            if not status and b'\r\n' in received:
                status = int(received.split(b' ', 2)[1])
            complete = received.endswith(b'0\r\n\r\n') or (
                status >= 300 and b'\r\n\r\n' in received
            )
        ended = 'complete' if complete else 'closed'
    except asyncio.TimeoutError:
        ended = f'client left after {silence} s of silence'
    except OSError as error:
        ended = repr(error)
    finally:
        writer.close()
    numbers = [
        int(line[3:]) for line in received.split(b'\n') if line.startswith(b'id:')
    ]
    world.record(
        f'client: {request_id} {tokens} tokens to {instance.name}: '
        f'status {status}, events {numbers[:1]}..{numbers[-1:]}, {ended}, '
        f'{now() - sent_at:.2f} s'
    )
    return status, numbers, complete


async def call(world, instance, method, path, deadline_ms, body=b''):
    """Send a plain request as a client, on a new connection.

    Returns
    -------
    tuple
        Status, 0 without an answer; headers by name in lower case; body.
    """
    request_id = world.next_id()
    host, _, port = instance.frontend.rpartition(':')
    status, headers, content = 0, {}, b''
    sent_at = now()
    head = {
        'Host': HOST,
        'X-Kelproad-Request-Id': request_id,
        'X-Kelproad-Deadline-Ms': str(deadline_ms),
        'X-Api-Key': KEY,
        'Content-Length': str(len(body)),
        'Connection': 'close',
    }
    lines = ''.join(f'{name}: {text}\r\n' for name, text in head.items())
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(f'{method} {path} HTTP/1.1\r\n{lines}\r\n'.encode() + body)
        async with asyncio.timeout(deadline_ms / 1000 + 1):
            received = await reader.read()
        writer.close()
        first, _, content = received.partition(b'\r\n\r\n')
        status = int(first.split(b' ', 2)[1])
        for line in first.decode('latin-1').split('\r\n')[1:]:
            name, _, text = line.partition(':')
            headers[name.strip().lower()] = text.strip()
    except (OSError, asyncio.TimeoutError, IndexError, ValueError) as error:
        world.record(f'client: {request_id} {path}: {error!r}')
    stamp = headers.get('x-kelproad-server-stamp', '-')
    world.record(
        f'client: {request_id} {method} {path} to {instance.name}: '
        f'status {status}, stamp {stamp}, {len(content)} bytes, '
        f'{now() - sent_at:.3f} s'
    )
    return status, headers, content


def run_case(folder, play):
    """Play a case in a temporary folder; exit with its outcome.

    ``play`` gets the record, the folder and whether there is trouble, and
    returns the lines that say how the rule was broken.
    """
    record = Record(pathlib.Path(folder) / 'record.txt')
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    atexit.register(lambda: [world.stop() for world in WORLDS])
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    record(f'trouble: {has_trouble}')
    with tempfile.TemporaryDirectory(prefix='kelproad-review-') as temporary:
        try:
            broken = asyncio.run(
                asyncio.wait_for(
                    play(record, pathlib.Path(temporary), has_trouble), 110
                )
            )
        except Exception as error:
            record(f'the case could not run: {error!r}')
            print(f'the case could not run: {error!r}', file=sys.stderr)
            sys.exit(2)
        kept = os.environ.get('KEEP_LOGS')
        if kept:
            for log in pathlib.Path(temporary).glob('*.log'):
                (pathlib.Path(kept) / log.name).write_bytes(log.read_bytes())
    for line in broken:
        record(f'BROKEN: {line}')
        print(f'BROKEN: {line}')
    if not broken:
        record('the rule held')
        print('the rule held')
    sys.exit(BROKEN if broken else 0)
