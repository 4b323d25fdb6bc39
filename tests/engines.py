"""Control and inspection of a site's stand-in engines."""

import json
import time
from http.client import HTTPConnection, IncompleteRead

from testbed.site import Site
from tests.clients import KEY, MODEL

_POLL_SECONDS = 0.1
#: Characters of the last payload that a failed check prints.
_PAYLOAD_SHOWN = 120


def list_engines(site: Site) -> list[str]:
    """List the names of the report engines."""
    return [name for name in site.addresses if name.startswith('report-')]


def set_engine_faults(
    site: Site,
    names: list[str] | None = None,
    **faults: object,
) -> None:
    """Set the faults of some engines, or all, and clear the others."""
    for name in list_engines(site):
        chosen = names is None or name in names
        site.set_faults(site.addresses[name], **(faults if chosen else {}))


def list_held_streams(site: Site) -> dict[str, dict[str, object]]:
    """Map each report engine to its own account of what it holds."""
    return {
        name: site.control(site.addresses[name], 'GET', '/v1/held')
        for name in list_engines(site)
    }


def list_unconfirmed_cancels(site: Site) -> list[object]:
    """List the cancels of all instances that no engine has confirmed."""
    return [
        cancel
        for instance in site.instances
        for cancel in site.control(instance.operator, 'GET', '/operator/dump')[
            'cancels_open'
        ]
    ]


def wait_until_released(site: Site, seconds: float) -> dict[str, object]:
    """Wait until no engine holds anything; return those that do."""
    limit = time.monotonic() + seconds
    while True:
        left = {
            name: held
            for name, held in list_held_streams(site).items()
            if held['held'] or held['used_tokens']
        }
        if not left or time.monotonic() > limit:
            return left
        time.sleep(_POLL_SECONDS)


def wait_until_confirmed(site: Site, seconds: float) -> list[object]:
    """Wait until every cancel is confirmed; return the open ones."""
    limit = time.monotonic() + seconds
    while list_unconfirmed_cancels(site) and time.monotonic() < limit:
        time.sleep(_POLL_SECONDS)
    return list_unconfirmed_cancels(site)


class OpenStream:
    """A streamed completion that is read event by event."""

    def __init__(
        self,
        address: str,
        prompt: str,
        deadline: float = 20,
        wait: bool = True,
        **fields: object,
    ) -> None:
        """Send the request; wait for the headers if ``wait`` is set."""
        self._connection = HTTPConnection(address, timeout=30)
        body = {'model': MODEL, 'prompt': prompt, 'stream': True, **fields}
        self._connection.request(
            'POST',
            '/v1/completions',
            json.dumps(body),
            {
                'Authorization': f'Bearer {KEY}',
                'X-Deadline-Seconds': str(deadline),
            },
        )
        self.response = self._connection.getresponse() if wait else None
        self._unparsed = b''
        self.payloads: list[str] = []
        self.incomplete = False

    def __repr__(self) -> str:
        """Summarise what was received, for the message of a failed check."""
        if self.response is None:
            return '<OpenStream without an answer>'
        headers = self.response.headers
        last = self.payloads[-1] if self.payloads else self._unparsed.decode()
        return (
            f'<OpenStream {headers.get("X-Request-Id")}: '
            f'status {self.response.status}, {len(self.payloads)} events, '
            f'incomplete={self.incomplete}, '
            f'{len(self._unparsed)} bytes unparsed, '
            f'last {last[-_PAYLOAD_SHOWN:]}>'
        )

    def read(self, events: int | None = None) -> None:
        """Read a number of further events, or all up to the end."""
        while events is None or events > 0:
            line = self._read_line()
            if not line:
                return
            if line.startswith(b'data: '):
                self.payloads.append(line[6:].decode().strip())
                events = None if events is None else events - 1

    def close(self) -> None:
        """Disconnect, whether or not the answer is complete."""
        if self.response is not None:
            self.response.close()
        self._connection.close()

    @property
    def done(self) -> bool:
        """Whether the last event read is ``[DONE]``."""
        return self.payloads[-1:] == ['[DONE]']

    @property
    def text(self) -> str:
        """The text of all events so far."""
        chunks = [
            json.loads(payload)
            for payload in self.payloads
            if payload != '[DONE]'
        ]
        return ''.join(
            choice['text']
            for chunk in chunks
            for choice in chunk.get('choices', [])
        )

    @property
    def error(self) -> dict[str, object] | None:
        """The refusal in the last event, if it has one."""
        last = json.loads(self.payloads[-1])
        return last.get('error')

    def _read_line(self) -> bytes:
        """Read one line; ``readline`` would hide an incomplete body."""
        while b'\n' not in self._unparsed:
            try:
                received = self.response.read1()
            except IncompleteRead:
                self.incomplete = True
                return b''
            if not received:
                return b''
            self._unparsed += received
        line, _, rest = self._unparsed.partition(b'\n')
        self._unparsed = rest
        return line or b' '
