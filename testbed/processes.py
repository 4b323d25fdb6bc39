"""Starting, signalling and ending one process of the site."""

import fcntl
import os
import pathlib
import secrets
import signal
import socket
import subprocess
import sys
import tempfile
import time
from typing import IO
from urllib import error, request

__all__ = ['Process', 'find_free_address', 'wait_until_answering']

_STOP_SECONDS = 30.0
_POLL_SECONDS = 0.05
_LOWEST_PORT = 10_000
_HIGHEST_PORT = 32_000
_PORTS = range(_LOWEST_PORT, _HIGHEST_PORT)
_FROM_SOURCE = (sys.executable, '-m', 'kelproad')

_RESERVATIONS = pathlib.Path(tempfile.gettempdir()) / 'kelproad-ports'
#: Files whose locks keep the ports that this process was given.
_held: list[IO[str]] = []


def find_free_address(host: str = '127.0.0.1') -> str:
    """Find a loopback address that nothing listens on.

    The system gives ports above the range drawn from here to outgoing
    connections.  One of those could take a port between its being found and
    its being listened on, and the process would fail to start.
    """
    while True:
        port = secrets.choice(_PORTS)
        if _reserve(port) and _is_free(host, port):
            return f'{host}:{port}'


def _reserve(port: int) -> bool:
    """Keep a port from other processes that start sites on this machine.

    Between its being found and its being listened on nothing else would.
    """
    _RESERVATIONS.mkdir(exist_ok=True)
    reservation = (_RESERVATIONS / str(port)).open('w')
    try:
        fcntl.flock(reservation, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        reservation.close()
        return False
    _held.append(reservation)
    return True


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True


def wait_until_answering(url: str, seconds: float = 20.0) -> None:
    """Wait until a URL answers with success.

    Raises
    ------
    TimeoutError
        When it does not within the time.
    """
    opener = request.build_opener(request.ProxyHandler({}))
    limit = time.monotonic() + seconds
    last: Exception | None = None
    while time.monotonic() < limit:
        try:
            with opener.open(url, timeout=2):
                return
        except (OSError, error.HTTPError) as failure:
            last = failure
        time.sleep(_POLL_SECONDS)
    raise TimeoutError(f'{url} does not answer: {last}')


class Process:
    """One process of the command line."""

    def __init__(
        self,
        name: str,
        arguments: list[str],
        directory: pathlib.Path,
        environment: dict[str, str] | None = None,
        program: list[str] | None = None,
    ) -> None:
        """Start it; its output goes to a file in the directory."""
        self.name = name
        self.log = directory / f'{name}.log'
        with self.log.open('ab') as output:
            self._process = subprocess.Popen(
                [*(program or _FROM_SOURCE), *arguments],
                stdout=output,
                stderr=output,
                stdin=subprocess.DEVNULL,
                env={**os.environ, **(environment or {})},
            )

    @property
    def pid(self) -> int:
        """Process id."""
        return self._process.pid

    @property
    def running(self) -> bool:
        """Whether it has not ended."""
        return self._process.poll() is None

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to it."""
        self._process.send_signal(number)

    def freeze(self) -> None:
        """Stop it from running, as a long pause does."""
        self.send_signal(signal.SIGSTOP)

    def wake(self) -> None:
        """Let a frozen process run on."""
        self.send_signal(signal.SIGCONT)

    def kill(self) -> None:
        """End it without any warning."""
        self._process.kill()
        self._process.wait()

    def wait(self, seconds: float) -> int:
        """Wait for its end and return the exit code."""
        return self._process.wait(seconds)

    def ask_to_stop(self) -> None:
        """Begin its ordinary end, and do not wait for it."""
        if self.running:
            self.wake()
            self._process.terminate()

    def stop(self) -> None:
        """End it in the ordinary way, by force if that takes too long."""
        if not self.running:
            return
        self.ask_to_stop()
        try:
            self._process.wait(_STOP_SECONDS)
        except subprocess.TimeoutExpired:
            self.kill()
