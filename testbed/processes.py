"""Start, signal and stop the processes of a site."""

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

_STOP_TIMEOUT = 30.0
_POLL_SECONDS = 0.05
_LOWEST_PORT = 10_000
_HIGHEST_PORT = 32_000
_PORTS = range(_LOWEST_PORT, _HIGHEST_PORT)
_SOURCE_COMMAND = (sys.executable, '-m', 'kelproad')

_RESERVATIONS = pathlib.Path(tempfile.gettempdir()) / 'kelproad-ports'
#: Open files whose locks reserve the ports that this process has chosen.
_locked_files: list[IO[str]] = []


def find_free_address(host: str = '127.0.0.1') -> str:
    """Reserve and return a loopback address that nothing listens on.

    Ports are chosen below the system's ephemeral range: an outgoing connection
    could otherwise take the port before the started process listens on it,
    and the process would fail to start.
    """
    while True:
        port = secrets.choice(_PORTS)
        if _reserve(port) and _is_free(host, port):
            return f'{host}:{port}'


def _reserve(port: int) -> bool:
    """Lock a port against other test processes on this machine.

    Until the started process listens on the port, another process that starts
    a site could choose the same one.
    """
    _RESERVATIONS.mkdir(exist_ok=True)
    reservation = (_RESERVATIONS / str(port)).open('w')
    try:
        fcntl.flock(reservation, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        reservation.close()
        return False
    _locked_files.append(reservation)
    return True


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True


def wait_until_answering(url: str, seconds: float = 20.0) -> None:
    """Poll a URL until it responds with success.

    Raises
    ------
    TimeoutError
        If it does not within the given seconds.
    """
    opener = request.build_opener(request.ProxyHandler({}))
    limit = time.monotonic() + seconds
    last_error: Exception | None = None
    while time.monotonic() < limit:
        try:
            with opener.open(url, timeout=2):
                return
        except (OSError, error.HTTPError) as failure:
            last_error = failure
        time.sleep(_POLL_SECONDS)
    raise TimeoutError(f'{url} does not answer: {last_error}')


class Process:
    """A child process, by default the project's command line."""

    def __init__(
        self,
        name: str,
        arguments: list[str],
        directory: pathlib.Path,
        environment: dict[str, str] | None = None,
        program: list[str] | None = None,
    ) -> None:
        """Start the process; its output goes to ``NAME.log``."""
        self.name = name
        self.log = directory / f'{name}.log'
        with self.log.open('ab') as output:
            self._process = subprocess.Popen(
                [*(program or _SOURCE_COMMAND), *arguments],
                stdout=output,
                stderr=output,
                stdin=subprocess.DEVNULL,
                env={**os.environ, **(environment or {})},
            )

    @property
    def pid(self) -> int:
        """Process ID."""
        return self._process.pid

    @property
    def running(self) -> bool:
        """Whether the process has not exited."""
        return self._process.poll() is None

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal, without waiting for its effect."""
        self._process.send_signal(number)

    def freeze(self) -> None:
        """Suspend the process (SIGSTOP), as a long pause would."""
        self.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a frozen process (SIGCONT)."""
        self.send_signal(signal.SIGCONT)

    def kill(self) -> None:
        """Send SIGKILL and wait for the exit."""
        self._process.kill()
        self._process.wait()

    def wait(self, seconds: float) -> int:
        """Wait for the exit and return the exit code."""
        return self._process.wait(seconds)

    def terminate(self) -> None:
        """Resume the process, send SIGTERM and do not wait."""
        if self.running:
            self.resume()
            self._process.terminate()

    def stop(self) -> None:
        """Terminate the process; kill it if that takes too long."""
        if not self.running:
            return
        self.terminate()
        try:
            self._process.wait(_STOP_TIMEOUT)
        except subprocess.TimeoutExpired:
            self.kill()
