"""HTTP calls to the site under test, made as a caller would."""

import json
from urllib import error, request

import attrs

KEY = 'example-key-crews-colombo'
MODEL = 'roadgrip-report'


@attrs.frozen
class Answer:
    """An HTTP response whose body has been read completely."""

    status: int
    headers: dict[str, str]
    body: bytes

    def fields(self) -> dict[str, object]:
        """Decode the body as JSON."""
        return json.loads(self.body)

    def refusal(self) -> dict[str, object]:
        """Return the refusal in the ``error`` field of the body."""
        return self.fields()['error']


def call(
    address: str,
    path: str,
    body: object = None,
    method: str | None = None,
    key: str = KEY,
    headers: dict[str, str] | None = None,
    timeout: float = 30,
) -> Answer:
    """Make one call; return error statuses as answers, too."""
    encoded = body
    if body is not None and not isinstance(body, bytes):
        encoded = json.dumps(body).encode()
    default_method = 'GET' if body is None else 'POST'
    prepared = request.Request(
        f'http://{address}{path}',
        data=encoded,
        headers={'Authorization': f'Bearer {key}', **(headers or {})},
        method=method or default_method,
    )
    opener = request.build_opener(request.ProxyHandler({}))
    try:
        with opener.open(prepared, timeout=timeout) as response:
            return Answer(
                response.status,
                dict(response.headers),
                response.read(),
            )
    except error.HTTPError as failed:
        return Answer(failed.code, dict(failed.headers), failed.read())


def complete(address: str, prompt: str = 'hello', **fields: object) -> Answer:
    """Request a completion of a few tokens."""
    headers = fields.pop('headers', None)
    body = {'model': MODEL, 'prompt': prompt, 'max_tokens': 4, **fields}
    return call(address, '/v1/completions', body, headers=headers)


def book(
    address: str,
    reference: str,
    key: str = '',
    deadline: float | None = None,
    **options: object,
) -> Answer:
    """Book a test run, under an idempotency key if one is given."""
    headers = {'Idempotency-Key': key} if key else {}
    if deadline is not None:
        headers['X-Deadline-Seconds'] = str(deadline)
    return call(
        address,
        '/services/test-runs/entries',
        {'reference': reference},
        headers=headers,
        **options,
    )
