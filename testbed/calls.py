"""Calls to operator APIs and to the control APIs of stand-ins."""

import json
from urllib import error, request

__all__ = ['OPERATOR_TOKEN', 'CallError', 'call_control']

OPERATOR_TOKEN = 'operator-token-of-the-test-site'  # noqa: S105  test only
#: Seconds.
_TIMEOUT = 20


class CallError(Exception):
    """A response with an error status."""

    def __init__(self, status: int, body: str) -> None:
        """Store the status and the text of the response body."""
        super().__init__(f'{status}: {body}')
        self.status = status
        self.body = body


def call_control(
    address: str,
    method: str,
    path: str,
    body: object = None,
) -> dict[str, object]:
    """Make a call with the operator token and decode the JSON response.

    A body of bytes is sent as it is, any other as JSON.

    Raises
    ------
    CallError
        If the response has an error status.
    """
    is_encoded = body is None or isinstance(body, bytes)
    call = request.Request(
        f'http://{address}{path}',
        data=body if is_encoded else json.dumps(body).encode(),
        headers={'Authorization': f'Bearer {OPERATOR_TOKEN}'},
        method=method,
    )
    opener = request.build_opener(request.ProxyHandler({}))
    try:
        with opener.open(call, timeout=_TIMEOUT) as response:
            return json.load(response)
    except error.HTTPError as failure:
        raise CallError(failure.code, failure.read().decode()) from failure
