"""Requests during a run on a part of whose prompts engines crash."""

import asyncio
import collections
import contextlib
import itertools
import json
import time

import aiohttp
import attrs

from testbed.routed import HOST, RoutedSite

from .routed_callers import RoutedCallers
from .routed_faults import RoutedFaults, Span

__all__ = ['CrashingRequests', 'check_crashes']

_PART = 'poison'
#: Seconds between two such requests, and until an engine is back, at least and
#: at most.
_PERIOD = 0.4
_RESTART_SECONDS = 2.0
_LONGEST_RESTART = 6.0
_POLL_SECONDS = 0.1
_DEADLINE = 4.0
_NOT_RUN = 503
#: Crashes after which the part must be known, seconds after the last of them
#: from which on requests are counted, and how many may reach engines then.
_KNOWN_CRASHES = 5
_SETTLING_SECONDS = 3.0
_ALLOWED = 3
#: Faults of an instance that excuse what it sends soon after.
_EXCUSING_FAULTS = frozenset(
    ('instance killed', 'instance frozen', 'instance cut')
)


@attrs.frozen
class _Sent:
    """A request that was sent, and the status of its answer."""

    request_id: str
    instance: str
    status: int


class CrashingRequests:
    """Sends such requests, and restarts the engines that crash."""

    def __init__(
        self, site: RoutedSite, callers: RoutedCallers, faults: RoutedFaults
    ) -> None:
        """Send with the key that the callers have at the time.

        An engine that one of the ``faults`` has killed is restarted by that.
        """
        self._site = site
        self._callers = callers
        self._faults = faults
        self._ids = itertools.count(1)
        self._engines = [name for name in site.endpoints if 'engine' in name]
        #: Crashes after which each engine was restarted.
        self._restarts: collections.Counter[str] = collections.Counter()
        self._restarting: asyncio.Task[None] | None = None
        self.sent: list[_Sent] = []

    async def run(self, seconds: float) -> None:
        """Send for ``seconds``, and wait for the answers."""
        if not seconds:
            return
        end = time.monotonic() + seconds
        self._site.lasting_faults = {'crash_parts': [_PART]}
        for name in self._engines:
            await self._prepare(name)
        self._restarting = asyncio.create_task(self._restart_crashed())
        async with aiohttp.ClientSession() as session:
            calls = []
            while time.monotonic() < end:
                calls.append(asyncio.create_task(self._send(session)))
                await asyncio.sleep(_PERIOD)
            await asyncio.gather(*calls)

    async def finish(self) -> None:
        """Let no engine crash any more; call it once all faults have ended."""
        self._restarting.cancel()
        await asyncio.wait((self._restarting,))
        self._site.lasting_faults = {}
        for name in self._engines:
            if not self._site.endpoint_processes[name].running:
                await asyncio.to_thread(self._site.restart_endpoint, name)
            await self._prepare(name)

    def list_spans(self) -> list[Span]:
        """List the crashes as faults, until their engines are back at last."""
        return [
            Span('endpoint killed', name, at, at + _LONGEST_RESTART)
            for name in self._engines
            for at, _ in self._read(name, 'crashed')
        ]

    def read_events(self, event: str) -> list[tuple[float, str]]:
        """Read the times and requests of an event from the engines' logs."""
        return sorted(
            told for name in self._engines for told in self._read(name, event)
        )

    def _read(self, name: str, event: str) -> list[tuple[float, str]]:
        log = self._site.endpoint_processes[name].log
        lines = [
            json.loads(line)
            for line in log.read_text().splitlines()
            if line.startswith('{"event"')
        ]
        return [
            (line['at'], line['request'])
            for line in lines
            if line['event'] == event
        ]

    async def _prepare(self, name: str) -> None:
        # An engine that is down gets its lasting faults when it is restarted.
        with contextlib.suppress(OSError):
            await asyncio.to_thread(self._site.set_endpoint_faults, name)

    async def _restart_crashed(self) -> None:
        """Restart engines that have crashed, until it is cancelled."""
        while True:
            await asyncio.sleep(_POLL_SECONDS)
            for name in self._engines:
                crashes = self._read(name, 'crashed')
                if len(crashes) > self._restarts[name]:
                    self._restarts[name] = len(crashes)
                    await self._restart(name)

    async def _restart(self, name: str) -> None:
        """Restart an engine, once no other fault uses it."""
        await asyncio.sleep(_RESTART_SECONDS)
        while not self._site.endpoint_processes[name].running:
            with self._faults.reserve([name]) as reserved:
                if reserved:
                    await asyncio.to_thread(self._site.restart_endpoint, name)
                    return
            await asyncio.sleep(_POLL_SECONDS)

    async def _send(self, session: aiohttp.ClientSession) -> None:
        number = next(self._ids)
        request_id = f'p{number:015x}'
        instance = self._site.instances[number % len(self._site.instances)]
        headers = {
            'Host': HOST,
            'X-Kelproad-Request-Id': request_id,
            'X-Kelproad-Deadline-Ms': str(int(_DEADLINE * 1000)),
            'X-Api-Key': self._callers.key,
            'X-Kelproad-Token-Count': '500,100',
            'X-Kelproad-Prompt-Prefix': (
                f'system-{number % 3}:20,{_PART}:20,{request_id}:10'
            ),
        }
        status = 0
        try:
            async with session.post(
                f'http://{instance.caller}/reports/x',
                data=b'prompt',
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=2 * _DEADLINE),
            ) as response:
                status = response.status
                await response.read()
        except (aiohttp.ClientError, OSError, asyncio.TimeoutError):
            # Its stream broke off with its engine, or its instance failed.
            status = status if status == _NOT_RUN else 0
        self.sent.append(_Sent(request_id, instance.name, status))


def check_crashes(
    requests: CrashingRequests, faults: RoutedFaults
) -> list[str]:
    """Return a line for each guarantee that was violated."""
    crashes = [at for at, _ in requests.read_events('crashed')]
    arrivals = requests.read_events('poisoned')
    ran = {request for _, request in requests.read_events('ran')}
    senders = {sent.request_id: sent.instance for sent in requests.sent}
    broken = [
        f'{sent.request_id} answered with {sent.status}, but it ran'
        for sent in requests.sent
        if sent.status == _NOT_RUN and sent.request_id in ran
    ]
    if len(crashes) < _KNOWN_CRASHES:
        return broken
    known_at = crashes[_KNOWN_CRASHES - 1] + _SETTLING_SECONDS
    later = [
        (at, request)
        for at, request in arrivals
        if at > known_at
        and not _is_excused(senders.get(request, ''), at, faults)
    ]
    if len(later) > _ALLOWED:
        broken.append(
            f'{len(later)} requests reached engines after their part was '
            f'known at {known_at:.2f}: {later}, crashes {crashes}'
        )
    return broken


def _is_excused(instance: str, at: float, faults: RoutedFaults) -> bool:
    """Return whether an instance had a fault, or started, just before."""
    spans = [
        (span.began, span.ended)
        for span in faults.spans
        if span.subject == instance and span.name in _EXCUSING_FAULTS
    ]
    spans += [
        (stop.terminated_at, stop.ready_again_at)
        for stop in faults.stops
        if stop.instance == instance
    ]
    return any(
        began <= at <= ended + _SETTLING_SECONDS for began, ended in spans
    )
