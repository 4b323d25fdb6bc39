"""Stand-ins and helpers that the scripts of this review share.

Everything runs on loopback addresses and the real clock.  The instances are
separate processes, started with the command of the deploy file; the store, the
engines, the proxies and the clients run inside the script.  Only the standard
library is used.
"""

import asyncio
import base64
import contextlib
import gc
import itertools
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
KEY = 'key-of-the-crews'
HOST = 'reports.example'
#: Exit code of a case whose rule was broken; ``run.sh`` makes 1 of it, so that an
#: error of the interpreter, which ends with 1, counts as one that couldn't run.
BROKEN = 10
LINGER_RESET = struct.pack('ii', 1, 0)

now = time.monotonic


_ports = itertools.count(random.randint(8000, 8900))


def free_port(host: str) -> int:
    """Return a port that is free at a loopback address.

    It is below those that outgoing connections get.
    """
    while True:
        port = next(_ports)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((host, port))
            return port


def free_host() -> str:
    """Return a random loopback address for one instance."""
    return '127.{}.{}.{}'.format(*(random.randint(20, 220) for _ in range(3)))


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    with contextlib.suppress(Exception):
        writer.get_extra_info('socket').setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET
        )
    writer.transport.abort()


class Record:
    """What was sent, answered and run; written to a file at the end."""

    def __init__(self) -> None:
        self.started = now()
        self.lines: list[str] = []

    def add(self, what: str, **fields: object) -> None:
        """Add a line with the time since the start of the script."""
        detail = ' '.join(f'{name}={text}' for name, text in fields.items())
        self.lines.append(f'{now() - self.started:9.3f} {what} {detail}'.rstrip())

    def write(self, folder: pathlib.Path) -> None:
        """Write the lines to ``record.txt``, in the order of their time."""
        text = '\n'.join(sorted(self.lines, key=lambda line: float(line.split()[0])))
        (folder / 'record.txt').write_text(text + '\n')


class Request:
    """A request that a stand-in has read."""

    def __init__(self, method, target, fields, body) -> None:
        self.method = method
        self.target = target
        self.fields = fields
        self.body = body


async def read_head(reader) -> tuple[str, dict[str, str]]:
    """Read a first line and header fields, names in lower case."""
    head = await reader.readuntil(b'\r\n\r\n')
    first, *rest = head.decode('latin-1').split('\r\n')
    fields = {}
    for line in rest:
        name, separator, text = line.partition(':')
        if separator:
            fields[name.strip().lower()] = text.strip()
    return first, fields


async def read_body(reader, fields) -> bytes:
    """Read a body with a length or in chunks."""
    if 'chunked' in fields.get('transfer-encoding', '').lower():
        parts = []
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            data = await reader.readexactly(size + 2)
            if not size:
                return b''.join(parts)
            parts.append(data[:-2])
    return await reader.readexactly(int(fields.get('content-length', 0)))


async def read_request(reader) -> Request:
    """Read a whole request."""
    first, fields = await read_head(reader)
    method, target, _ = first.split(' ')
    return Request(method, target, fields, await read_body(reader, fields))


def build_answer(status, body=b'', fields=None) -> bytes:
    """Build a whole answer with a length."""
    lines = [f'HTTP/1.1 {status} X', f'Content-Length: {len(body)}']
    lines += [f'{name}: {text}' for name, text in (fields or {}).items()]
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


class Server:
    """An HTTP/1.1 server on a loopback address; connections are kept."""

    def __init__(self, host='127.0.0.1') -> None:
        self.host = host
        self.port = 0
        self._server = None
        self._writers = set()
        self._tasks = set()

    @property
    def address(self) -> str:
        return f'{self.host}:{self.port}'

    async def start(self) -> None:
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, backlog=512
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self, abort=True) -> None:
        """Stop listening, and reset the connections, as a process that ends."""
        if self._server is not None:
            self._server.close()
            self._server = None
        if abort:
            for writer in list(self._writers):
                reset(writer)
            for task in list(self._tasks):
                task.cancel()

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            while True:
                read = await read_request(reader)
                await self.handle(read, reader, writer)
        except (asyncio.IncompleteReadError, OSError, ValueError,
                asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            self._tasks.discard(task)
            writer.close()

    async def handle(self, read, reader, writer) -> None:
        raise NotImplementedError


class Store(Server):
    """The platform's store: rows, transactions and the feed of changes."""

    def __init__(self) -> None:
        super().__init__()
        self.rows: dict[tuple[str, str, str], dict] = {}
        self.history: list[dict] = []
        self.version = 0
        self._changed = asyncio.Event()
        #: Time of the last query for changes of the entries, by client port.
        self.feeds: dict[int, float] = {}

    def put(self, table, key, document) -> float:
        """Write a row; return the time of the acknowledgement."""
        encoded = document if isinstance(document, bytes) else json.dumps(document).encode()
        self.version += 1
        row = {
            'table': table, 'part': '', 'key': key,
            'value': base64.b64encode(encoded).decode(),
            'row_version': self.version,
        }
        self.rows[table, '', key] = row
        self.history.append(row)
        self._notify()
        return now()

    def remove(self, *named) -> float:
        """Remove rows, each named by table and key, in one transaction."""
        self.version += 1
        for table, key in named:
            self.rows.pop((table, '', key), None)
            self.history.append({
                'table': table, 'part': '', 'key': key, 'value': '',
                'row_version': self.version, 'deleted': True,
            })
        self._notify()
        return now()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _answer(self, rows, more=False) -> bytes:
        body = json.dumps({
            'rows': rows, 'has_more': more, 'row_version': self.version,
            'now_ms': int(now() * 1000),
        }).encode()
        return build_answer(200, body, {'Content-Type': 'application/json'})

    async def handle(self, read, reader, writer) -> None:
        await asyncio.sleep(0.004)
        path, _, query_text = read.target.partition('?')
        query = dict(urllib.parse.parse_qsl(query_text, keep_blank_values=True))
        if path == '/-/rows-get':
            limit = min(int(query.get('limit', 500)), 500)
            found = [
                row for (table, part, key), row in sorted(self.rows.items())
                if table == query['table'] and part == query.get('part', '')
                and key >= query.get('from', '')
            ]
            answer = self._answer(found[:limit], len(found) > limit)
        elif path == '/-/rows-feed':
            if query['table'] == 'servers':
                self.feeds[writer.get_extra_info('peername')[1]] = now()
            answer = await self._feed(query)
        elif path == '/-/rows-tx':
            answer = self._transact(json.loads(read.body))
        else:
            answer = build_answer(404)
        writer.write(answer)
        await writer.drain()

    async def _feed(self, query) -> bytes:
        after = int(query['after_revision'])
        limit = now() + int(query.get('wait_ms', 0)) / 1000
        while True:
            found = [
                row for row in self.history
                if row['row_version'] > after and row['table'] == query['table']
            ]
            left = limit - now()
            if found or left <= 0:
                return self._answer(found)
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)

    def _transact(self, transaction) -> bytes:
        for row in transaction.get('puts', []) + transaction.get('remove', []):
            if row['table'] in ('op', 'servers'):
                return build_answer(403)
        for wanted in transaction.get('expected_revision', []):
            held = self.rows.get((wanted['table'], wanted.get('part', ''), wanted['key']))
            if (held or {}).get('row_version', 0) != wanted.get('row_version', 0):
                return build_answer(412, json.dumps({'rows': [held] if held else []}).encode())
        for row in transaction.get('puts', []):
            self.put(row['table'], row['key'], base64.b64decode(row['value']))
        removed = [(row['table'], row['key']) for row in transaction.get('remove', [])]
        if removed:
            self.remove(*removed)
        return self._answer([])


class Proxy:
    """A loopback proxy before one address, which can be cut.

    ``mode`` is ``pass``, ``reset`` (connections are reset and refused) or
    ``silent`` (nothing is passed on, and nothing is answered).
    """

    def __init__(self, target: str, host='127.0.0.1') -> None:
        self.target = target
        self.host = host
        self.port = 0
        self.mode = 'pass'
        self._pairs = set()
        #: Local ports of the connections to the target.
        self.ports = set()

    @property
    def address(self) -> str:
        return f'{self.host}:{self.port}'

    async def start(self) -> None:
        self._server = await asyncio.start_server(
            self._accept, self.host, self.port, backlog=512
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        self._server.close()
        self.abort_all()

    def abort_all(self) -> None:
        for writer in list(self._pairs):
            reset(writer)

    def cut(self, mode: str) -> None:
        """Cut the path: reset what is open, or let it fall silent."""
        self.mode = mode
        if mode == 'reset':
            self.abort_all()

    def heal(self) -> None:
        """End the cut.  What was open and silent is lost with its bytes."""
        if self.mode == 'silent':
            self.abort_all()
        self.mode = 'pass'

    async def _accept(self, reader, writer) -> None:
        if self.mode == 'reset':
            reset(writer)
            return
        while self.mode == 'silent':
            await asyncio.sleep(0.02)
            if writer.is_closing():
                return
        host, _, port = self.target.rpartition(':')
        try:
            back_reader, back_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            reset(writer)
            return
        self._pairs |= {writer, back_writer}
        self.ports.add(back_writer.get_extra_info('sockname')[1])
        await asyncio.gather(
            self._pump(reader, back_writer),
            self._pump(back_reader, writer),
            return_exceptions=True,
        )
        self._pairs -= {writer, back_writer}
        writer.close()
        back_writer.close()

    async def _pump(self, reader, writer) -> None:
        try:
            while data := await reader.read(65536):
                while self.mode == 'silent':
                    await asyncio.sleep(0.02)
                    if writer.is_closing():
                        return
                writer.write(data)
                await writer.drain()
            writer.close()
        except OSError:
            reset(writer)


class PlainEngine(Server):
    """A server of a plain service; it runs each request for a while.

    It runs ``SLOTS`` requests at a time, queues some more and rejects the rest,
    like those of the site file.
    """

    SLOTS = 6
    QUEUE = 24

    def __init__(self, name, service, record: Record, zone='zone-a', work=0.02) -> None:
        super().__init__()
        self.name = name
        self.service = service
        self.zone = zone
        self.record = record
        self.work = work
        self.born = int(time.time() * 1000)
        self.sequence = itertools.count(1)
        #: Monotonic time and id of each request that it got, and ran.
        self.arrivals: list[tuple[float, str]] = []
        self.runs: list[tuple[float, str]] = []
        self.leaving = False
        self._slots = asyncio.Semaphore(self.SLOTS)
        self._present = 0

    def describe(self, state='ready') -> dict:
        """Return its entry, as it writes it to the store."""
        return {
            'service': self.service, 'address': self.address, 'zone': self.zone,
            'version': 'v1', 'slots': self.SLOTS, 'state': state, 'warmup_left_ms': 0,
            'sequence': next(self.sequence), 'born': self.born,
        }

    async def handle(self, read, reader, writer) -> None:
        request_id = read.fields.get('x-kelproad-request-id', '')
        if read.target == '/-/report':
            body = json.dumps({
                'stage': 'both', 'models': [], 'busy': False, 'sequence': 0,
                'queued': 0, 'running': 0, 'kv_used': 0, 'kv_total': 0,
                'handles': 0, 'pace': 1.0, 'born': self.born, 'tickets': [],
            }).encode()
            writer.write(build_answer(200, body, {'Content-Type': 'application/json'}))
            return
        if read.target == '/healthz':
            status = 503 if self.leaving else 200
            writer.write(build_answer(status, b'', {'X-Kelproad-Instance-Id': self.name}))
            return
        expected = read.fields.get('x-kelproad-expect-instance')
        if expected not in (None, self.name):
            writer.write(build_answer(421, b'', {
                'X-Kelproad-Not-Executed': '1', 'X-Kelproad-Request-Id': request_id,
            }))
            return
        self.arrivals.append((now(), request_id))
        await self.run(read, request_id, reader, writer)

    async def run(self, read, request_id, reader, writer) -> None:
        fields = {'X-Kelproad-Request-Id': request_id}
        if self.leaving:
            fields['Connection'] = 'close'
        if self._present >= self.SLOTS + self.QUEUE:
            fields['X-Kelproad-Not-Executed'] = '1'
            writer.write(build_answer(503, b'', fields))
            return
        self._present += 1
        try:
            async with self._slots:
                self.runs.append((now(), request_id))
                self.record.add('runs', engine=self.name, request=request_id)
                await asyncio.sleep(self.work)
        finally:
            self._present -= 1
        fields['X-Kelproad-Server-Stamp'] = f'stamp.{self.name}.{request_id}'
        body = f'{self.name} ran {request_id}'.encode()
        writer.write(build_answer(200, body, fields))
        await writer.drain()

    async def end(self) -> None:
        """End as a sound engine does, once it has answered what it has."""
        if self._server is not None:
            self._server.close()
            self._server = None
        while self._present:
            await asyncio.sleep(0.01)
        self.stop()


class Instance:
    """An instance of kelproad as a process of its own."""

    def __init__(self, name, zone, folder: pathlib.Path, store_address, bounds=()) -> None:
        self.name = name
        self.zone = zone
        self.folder = folder
        self.host = free_host()
        self.frontend = free_port(self.host)
        self.ready = free_port(self.host)
        self.control = free_port(self.host)
        self.store_address = store_address
        self.bounds = bounds
        self.process = None
        self.log = folder / f'{name}.log'
        self.starts = 0

    def write_settings(self, seeds, zones) -> None:
        lines = [
            f'node_name={self.name}', 'role=entry', 'machine_class=edge',
            'serves=edge', f'ip={self.host}', f'zone={self.zone}',
            'region=region-1',
            *(f'zones.{zone}=region-1' for zone in zones),
            f'listen.frontend={self.host}:{self.frontend}',
            f'listen.ready={self.host}:{self.ready}',
            f'listen.control_plane={self.host}:{self.control}',
            'internal_port_range=7340,7355',
            f'seeds={seeds}', 'initial_start=true', 'in_tolerance=false',
            'limits.cpu_share=0.537', 'limits.cores=2', 'limits.memory_mb=300',
            'limits.max_fds=4100', 'limits.link_mbps=1000.0', 'limits.disk_mb=0',
            'discovery=platform', 'entry=vip', 'heartbeat_ms=1200',
            'contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform,spans',
            'fault_tolerance.machines=2', 'fault_tolerance.zones=1',
            'fault_tolerance.regions=0',
            'bounds.seed_lag_s=3', 'bounds.reuse_after_s=2',
            'bounds.stability_window_ms=3000', 'bounds.ack_ms=4000',
            'bounds.catch_up_s=4', 'bounds.drain_ms=2000', 'bounds.grace_s=8',
            'bounds.loss_slack_ms=200', 'bounds.config_apply_ms=2000',
            'bounds.downgrade_slack_ms=250', 'bounds.max_skew_ms=5000',
            'bounds.revoke_strict=true', 'bounds.revoke_ms=5000',
            'bounds.retry_budget_ratio=0.2', 'bounds.retry_window_s=10',
            'bounds.retry_slack=104', 'bounds.recovery_s=12',
            'bounds.pass_ms=120', 'bounds.retry_after_s=0',
            'bounds.stall_ms=1500', 'bounds.hold_max_ms=20000',
            'bounds.free_ms=4000', 'bounds.idle_max_ms=9000',
            f'platform.address={self.store_address}', 'platform.form=table',
            'platform.writes_per_s=400', 'platform.reads_per_s=2000',
            'platform.tx_ms=5.0', 'platform.partition_writes_s=200',
            'platform.row_bytes=65536', 'platform.across=false',
            'platform.history_s=20', 'platform.blob_bytes=8388608',
            'platform.blob_ms=25.0', 'platform.blob_mb_s=80.0',
            *self.bounds,
        ]
        (self.folder / f'{self.name}.conf').write_text('\n'.join(lines) + '\n')

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
        (role,) = deploy['roles'].values()
        environment = {
            name: os.environ[name] for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['KELPROAD_NODE_FILE'] = str(self.folder / f'{self.name}.conf')
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        self.starts += 1
        with self.log.open('ab') as log:
            self.process = subprocess.Popen(
                role['run'].split(), cwd=ROOT, env=environment,
                stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                start_new_session=True,
            )

    def signal(self, number) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        if self.process is not None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class Answer:
    """What a client got: a status, or why there was none."""

    def __init__(self, status, fields=None, body=b'', whole=False, reason='') -> None:
        self.status = status
        self.fields = fields or {}
        self.body = body
        self.whole = whole
        self.reason = reason


_ids = itertools.count(1)


def new_id(tag='r') -> str:
    return f'{tag}{next(_ids):06x}{random.getrandbits(24):06x}'


async def call(instance: Instance, method, path, request_id, key=KEY, body=b'',
               deadline_ms=3000, fields=None, timeout=6.0) -> Answer:
    """Send one request on a new connection and read its whole answer."""
    lines = [
        f'{method} {path} HTTP/1.1', f'Host: {HOST}',
        f'X-Kelproad-Request-Id: {request_id}',
        f'X-Kelproad-Deadline-Ms: {deadline_ms}',
    ]
    if key:
        lines.append(f'X-Api-Key: {key}')
    if method == 'POST' or body:
        lines.append(f'Content-Length: {len(body)}')
    lines += [f'{name}: {text}' for name, text in (fields or {}).items()]
    writer = None
    status, head, received = 0, {}, b''
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(instance.host, instance.frontend)
            writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
            first, head = await read_head(reader)
            status = int(first.split(' ')[1])
            received = await read_body(reader, head)
            return Answer(status, head, received, whole=True)
    except asyncio.TimeoutError:
        return Answer(status, head, received, reason='time-out of the client')
    except (OSError, asyncio.IncompleteReadError, ValueError) as error:
        return Answer(status, head, received, reason=f'connection ended: {error!r}')
    finally:
        if writer is not None:
            writer.close()


async def is_ready(instance: Instance) -> bool:
    try:
        async with asyncio.timeout(1):
            reader, writer = await asyncio.open_connection(instance.host, instance.ready)
            writer.write(b'GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n')
            first, _ = await read_head(reader)
            writer.close()
            return ' 200' in first
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return False


class CouldNotRun(Exception):
    """The case could not be played."""


class Site:
    """Store, engines and instances of one small deployment."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='kelproad-review-'))
        self.store = Store()
        self.engines: list[PlainEngine] = []
        self.instances: list[Instance] = []
        self.proxies: dict[str, Proxy] = {}
        self.version = 0
        self._tasks: list[asyncio.Task] = []
        #: Engines that write no more reports.
        self.quiet: set[str] = set()

    async def start(self, zones, engines, routes, services, keys=(KEY,)) -> None:
        """Start everything; ``zones`` has the zone of each instance."""
        if not (ROOT / 'target' / 'app').is_dir():
            raise CouldNotRun('the build of the deploy file has not run')
        await self.store.start()
        self.engines = engines
        for engine in engines:
            await engine.start()
            self.store.put('servers', engine.name, engine.describe())
        self.routes, self.services = routes, services
        self.put_configuration(keys)
        for number, zone in enumerate(zones, start=1):
            proxy = Proxy(self.store.address)
            await proxy.start()
            name = f'edge-{zone}-{number}'
            self.proxies[name] = proxy
            self.instances.append(Instance(name, zone, self.folder, proxy.address))
        seeds = ','.join(f'{one.host}:{one.control}' for one in self.instances[:3])
        for instance in self.instances:
            instance.write_settings(seeds, sorted(set(zones)))
            instance.start()
        self._tasks.append(asyncio.create_task(self._report()))
        await self.await_ready(self.instances)

    async def await_ready(self, instances, seconds=20) -> None:
        limit = now() + seconds
        for instance in instances:
            while not await is_ready(instance):
                if now() > limit:
                    raise CouldNotRun(f'{instance.name} is not ready')
                await asyncio.sleep(0.1)

    def find_reader(self) -> str:
        """Return the instance that has queried the entries last."""
        port = max(self.store.feeds, key=self.store.feeds.get)
        for name, proxy in self.proxies.items():
            if port in proxy.ports:
                return name
        raise CouldNotRun('nobody reads the entries')

    async def await_query(self, name: str) -> bool:
        """Wait until an instance asks the store for changes of the entries.

        Returns false if it does not within a second: another one reads them.
        """
        since = now()
        while now() - since < 1:
            for port, at in list(self.store.feeds.items()):
                if at > since and port in self.proxies[name].ports:
                    return True
            await asyncio.sleep(0.002)
        return False

    def put_configuration(self, keys=(KEY,), **changed) -> float:
        """Write a configuration; return the time of its acknowledgement."""
        self.version += random.randint(1, 3)
        return self.store.put('op', 'config', {
            'version': self.version,
            'routes': [{**route, **changed.get(route['name'], {})} for route in self.routes],
            'services': self.services,
            'limits': {
                'max_header_bytes': 16384, 'max_body_bytes': 4194304,
                'header_timeout_ms': 10000, 'idle_timeout_ms': 30000,
            },
            'tenants': [{'name': 'crews', 'api_keys': list(keys)}],
        })

    async def _report(self) -> None:
        """Let each engine write its entry about once in 1.2 s."""
        while True:
            for engine in self.engines:
                if engine.name not in self.quiet:
                    self.store.put('servers', engine.name, engine.describe(
                        'draining' if engine.leaving else 'ready'))
                await asyncio.sleep(1.2 / max(1, len(self.engines)))

    def stop(self) -> None:
        for task in self._tasks:
            task.cancel()
        for instance in self.instances:
            instance.kill()
        for engine in self.engines:
            engine.stop()
        for proxy in self.proxies.values():
            proxy.stop()
        self.store.stop()
        if os.environ.get('KEEP_LOGS'):
            print('logs are kept in', self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def route(name, service, kind='idempotent', **fields) -> dict:
    """Return a route of a configuration."""
    return {
        'name': name, 'host': HOST, 'path_prefix': f'/{name}/',
        'route_type': kind, 'timeout_ms': 1500, 'target_latency_ms': 300,
        'max_attempts': 2 if kind == 'idempotent' else 1, 'priority': 1,
        'service': service, **fields,
    }


def main(play, folder: pathlib.Path) -> None:
    """Run a case, write its record and exit with its outcome.

    ``play`` gets the record and whether there is trouble, and returns the
    breaches that it has seen.
    """
    record = Record()
    trouble = os.environ.get('TROUBLE', '1') != '0'

    async def run():
        # Whoever ends the script ends what it has started, too.
        loop = asyncio.get_running_loop()
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            loop.add_signal_handler(number, task.cancel)
        breaches = await asyncio.wait_for(play(record, trouble), 105)
        # What is left of connections is closed while there is still a loop.
        await asyncio.sleep(0.2)
        gc.collect()
        await asyncio.sleep(0)
        return breaches

    try:
        breaches = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:
        record.add('could not run', reason=repr(error))
        record.write(folder)
        print('could not run:', repr(error))
        sys.exit(2)
    for breach in breaches:
        record.add('BREACH:', breach=breach)
    record.write(folder)
    print(f'{len(breaches)} breaches' + (f', the first: {breaches[0]}' if breaches else ''))
    sys.exit(BROKEN if breaches else 0)
