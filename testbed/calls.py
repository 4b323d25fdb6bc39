"""Calls to operator sides and to the switches of stand-ins."""

import json
from urllib import error, request

__all__ = ['OPERATOR_TOKEN', 'CallError', 'call_control']

OPERATOR_TOKEN = 'operator-token-of-the-test-site'  # noqa: S105  a test's
_TIMEOUT = 20


class CallError(Exception):
    """A call was answered with an error status."""

    def __init__(self, status: int, body: str) -> None:
        """Keep the status and the answer's text."""
        super().__init__(f'{status}: {body}')
        self.status = status
        self.body = body


def call_control(
    address: str,
    method: str,
    path: str,
    body: object = None,
) -> dict[str, object]:
    """Make a call and decode its answer.

    Raises
    ------
    CallError
        When the answer has an error status.
    """
    call = request.Request(
        f'http://{address}{path}',
        data=None if body is None else json.dumps(body).encode(),
        headers={'Authorization': f'Bearer {OPERATOR_TOKEN}'},
        method=method,
    )
    opener = request.build_opener(request.ProxyHandler({}))
    try:
        with opener.open(call, timeout=_TIMEOUT) as response:
            return json.load(response)
    except error.HTTPError as failure:
        raise CallError(failure.code, failure.read().decode()) from failure
