"""Client calls to the routed interface of an instance."""

import itertools
import socket
import threading
import time
from collections.abc import Callable
from http import client

import attrs

from testbed.routed import HOST, KEY, RoutedInstance

_ids = itertools.count(1)


@attrs.frozen
class Answer:
    """An answer, complete unless ``broken`` (aborted by the connection)."""

    request_id: str
    status: int
    headers: client.HTTPMessage
    body: bytes
    seconds: float
    broken: bool = False

    @property
    def has_stamp(self) -> bool:
        """Whether the answer has an endpoint's stamp."""
        return 'X-Kelproad-Server-Stamp' in self.headers


def next_id() -> str:
    """Return a request id that is unique in this process."""
    return f'{next(_ids):016x}'


def make_headers(request_id: str, **more: str) -> dict[str, str]:
    """Build the headers of a call; one with an empty text is omitted."""
    headers = {
        'Host': HOST,
        'X-Kelproad-Request-Id': request_id,
        'X-Kelproad-Deadline-Ms': '4000',
        'X-Api-Key': KEY,
    }
    headers.update(
        {name.replace('_', '-'): text for name, text in more.items()},
    )
    return {name: text for name, text in headers.items() if text}


def call(
    instance: RoutedInstance,
    path: str,
    method: str = 'GET',
    body: bytes | None = None,
    request_id: str | None = None,
    **headers: str,
) -> Answer:
    """Make one call on a new connection and read its answer."""
    request_id = request_id or next_id()
    connection = client.HTTPConnection(instance.caller, timeout=20)
    started_at = time.monotonic()
    connection.request(
        method,
        path,
        body,
        make_headers(request_id, **headers),
    )
    response = connection.getresponse()
    broken = False
    try:
        received = response.read()
    except client.IncompleteRead as error:
        received, broken = error.partial, True
    except ConnectionError:
        received, broken = b'', True
    connection.close()
    return Answer(
        request_id,
        response.status,
        response.headers,
        received,
        time.monotonic() - started_at,
        broken,
    )


def stream(
    instance: RoutedInstance,
    path: str = '/reports/x',
    tokens: str = '100,50',
    **headers: str,
) -> Answer:
    """Request a stream with token counts ``prompt,output``."""
    return call(
        instance,
        path,
        'POST',
        b'prompt',
        X_Kelproad_Token_Count=tokens,
        X_Kelproad_Model='m',
        **headers,
    )


def run_in_thread(
    target: Callable[[], Answer], results: list[Answer]
) -> threading.Thread:
    """Start a call in a thread that appends its answer to a list."""
    thread = threading.Thread(target=lambda: results.append(target()))
    thread.start()
    return thread


def list_event_ids(answer: Answer) -> list[int]:
    """List the event ids of an answer, in order."""
    return [
        int(line[3:])
        for line in answer.body.decode().splitlines()
        if line.startswith('id:')
    ]


def send_raw(instance: RoutedInstance, raw: bytes) -> bytes:
    """Send bytes and read until the connection is closed or reset."""
    host, port = instance.caller.split(':')
    with socket.create_connection((host, int(port)), timeout=10) as sent:
        sent.sendall(raw)
        received = b''
        try:
            while chunk := sent.recv(65536):
                received += chunk
        except ConnectionError:
            return received
    return received
