"""The callers' API: completion calls, their headers, and refusals.

Completion calls follow the OpenAI HTTP API so that existing clients work
unchanged.  A body is parsed once and only at its top level: the prompt, which
may have megabytes, stays a view into the received bytes.
"""

import asyncio
import codecs
import hashlib
import math
import random
import re
from collections.abc import Callable
from typing import Self

import attrs
import msgspec
from aiohttp import web
from aiohttp.http_exceptions import HttpProcessingError
from returns.result import Failure, Result, Success

from ..state.budgets import CallBytes
from ..state.problems import UNREADABLE_ERRORS
from ..state.refusals import Ran, Refusal, RefusalCode, Step
from ..transport.deadlines import monotonic, within

__all__ = [
    'DEADLINE_HEADER',
    'IDEMPOTENCY_KEY_HEADER',
    'REPLAYED_HEADER',
    'REQUEST_ID_HEADER',
    'SEGMENTS_HEADER',
    'CompletionBody',
    'build_refusal_response',
    'digest_key',
    'encode_refusal',
    'parse_deadline',
    'parse_idempotency_key',
    'read_bearer_token',
    'read_body',
    'receive_body',
]

DEADLINE_HEADER = 'X-Deadline-Seconds'
IDEMPOTENCY_KEY_HEADER = 'Idempotency-Key'
REQUEST_ID_HEADER = 'X-Request-Id'
REPLAYED_HEADER = 'Idempotency-Replayed'
SEGMENTS_HEADER = 'X-Segments'
MAX_KEY_LENGTH = 255
#: Bounds of the seconds after which callers return for whose bodies there is no
#: room; at random, so that they don't all come at once.
_ROOM_RETRIES = (0.5, 1.5)
_DECIMAL = re.compile(r'[0-9]{1,9}(\.[0-9]{1,9})?')

RawFields = dict[str, msgspec.Raw]


@attrs.frozen
class CompletionBody:
    """A completion call, parsed only at its top level.

    Attributes
    ----------
    fields
        Every field of the body as raw JSON.
    model
        Name of the requested model.
    stream
        Whether the caller requests server-sent events.
    prompt
        View of the raw JSON of the prompt or the messages.
    """

    fields: RawFields
    model: str
    stream: bool
    prompt: memoryview

    @classmethod
    def from_bytes(cls, body: bytes, field: str) -> Result[Self, Refusal]:
        """Parse a body that has its prompt or messages in ``field``."""
        try:
            fields = msgspec.json.decode(body, type=RawFields)
            model = msgspec.json.decode(fields[_MODEL], type=str)
            stream = msgspec.json.decode(
                fields.get(_STREAM, _RAW_FALSE),
                type=bool | None,
            )
            prompt = memoryview(fields[field])
        except KeyError as missing:
            return _fail_bad_request(f'the body has no field {missing}')
        except UNREADABLE_ERRORS as error:
            return _fail_bad_request(f'malformed body: {error}')
        return Success(cls(fields, model, bool(stream), prompt))

    def estimate_tokens(self, bytes_per_token: float) -> int:
        """Estimate the number of prompt tokens from the size in bytes.

        Each service declares its ``bytes_per_token``.  With the default of 4
        the estimate for English text is within 25 % of the true count; text in
        other scripts needs another value.
        """
        return max(1, math.ceil(self.prompt.nbytes / bytes_per_token))

    def encode_streaming(self) -> bytes:
        """Encode the body for an engine: the same fields, with ``stream`` set.

        The received bytes are never forwarded: if a key occurs twice, this
        program has checked the last value, and an engine may use the first.
        """
        return msgspec.json.encode({**self.fields, _STREAM: _RAW_TRUE})


_MODEL = 'model'
_STREAM = 'stream'
_RAW_TRUE = msgspec.Raw(b'true')
_RAW_FALSE = msgspec.Raw(b'false')


def _refuse_nothing(_size: int) -> Refusal | None:
    """Receive bodies whatever else is held."""


def _record_nothing(_size: int) -> None:
    """Receive bodies however slowly they arrive."""


async def read_body(
    http_request: web.BaseRequest,
    limit: int,
    text: bool = True,
    take_room: Callable[[int], Refusal | None] = _refuse_nothing,
    record_chunk: Callable[[int], None] = _record_nothing,
) -> Result[bytes, Refusal]:
    """Read a body of at most ``limit`` bytes.

    A declared length over the limit is refused before anything is read.  If
    ``text`` is set, the body must be UTF-8; it is checked chunk by chunk, so
    that no second copy of it is made.  ``take_room`` gets the declared length,
    or that of each chunk of a body without one, and returns the refusal of a
    call for which there is no room.  ``record_chunk`` gets the length of each
    chunk as it arrives.
    """
    declared = http_request.content_length
    if declared is not None and declared > limit:
        return Failure(_refuse_too_large(limit))
    refusal = take_room(declared or 0)
    if refusal is not None:
        return Failure(refusal)
    check_text = codecs.getincrementaldecoder('utf-8')()
    received = bytearray()
    try:
        async for chunk in http_request.content.iter_any():
            received += chunk
            record_chunk(len(chunk))
            if len(received) > limit:
                return Failure(_refuse_too_large(limit))
            refusal = take_room(len(chunk)) if declared is None else None
            if refusal is not None:
                return Failure(refusal)
            check_text.decode(chunk if text else b'')
        check_text.decode(b'', final=True)
    except UnicodeDecodeError:
        return _fail_bad_request('the body is not UTF-8')
    except (web.RequestPayloadError, HttpProcessingError):
        # Wrong chunk sizes, or a content encoding that cannot be decoded.
        return _fail_bad_request(
            'the body is not encoded as its headers declare'
        )
    return Success(bytes(received))


async def receive_body(
    http_request: web.BaseRequest,
    limit: int,
    deadline: float,
    held: CallBytes,
    generator: random.Random,
    text: bool = True,
) -> Result[bytes, Refusal]:
    """Read a body until a deadline, as long as there is room for it.

    Parameters
    ----------
    http_request
        The call.
    limit
        Maximum bytes of the body.
    deadline
        Monotonic time, in seconds.
    held
        Counts the bytes of the body.
    generator
        Chooses when those return for whose bodies there is no room.
    text
        Whether the body must be UTF-8.

    Raises
    ------
    TimeoutError
        When the body has not arrived at the deadline.
    """

    def take_room(size: int) -> Refusal | None:
        if held.take(size, monotonic()):
            return None
        return _refuse_room('too much is held for slow callers', generator)

    timeout = within(deadline)
    with held.receive(lambda: _expire(timeout), monotonic()) as arriving:
        try:
            async with timeout:
                body = await read_body(
                    http_request,
                    limit,
                    text,
                    take_room,
                    lambda size: arriving.record(size, monotonic()),
                )
        except TimeoutError:
            if not arriving.is_interrupted:
                raise
        # Its last bytes may have come as it was interrupted.
        if not arriving.is_interrupted:
            return body
        message = 'the body arrives too slowly, and others need its room'
        return Failure(_refuse_room(message, generator))


def _expire(timeout: asyncio.Timeout) -> None:
    """Let a time-out expire now, unless its block has ended."""
    if timeout.when() is not None and not timeout.expired():
        timeout.reschedule(asyncio.get_running_loop().time())


def parse_deadline(
    text: str | None,
    default: float,
    maximum: float,
) -> Result[float, Refusal]:
    """Parse a request's time limit in seconds, capped at ``maximum``."""
    if text is None:
        return Success(default)
    # float() accepts more than a decimal number: nan, 1e400, 1_0, and digits of
    # other scripts.
    if not _DECIMAL.fullmatch(text) or not float(text):
        return _fail_bad_request(
            f'{DEADLINE_HEADER} must be a decimal number of seconds greater '
            'than zero',
        )
    return Success(min(float(text), maximum))


def parse_idempotency_key(text: str | None) -> Result[str, Refusal]:
    """Check an idempotency key; without the header it is empty."""
    if text is None:
        return Success('')
    if not text.strip() or not _is_valid_key(text):
        return _fail_bad_request(
            f'{IDEMPOTENCY_KEY_HEADER} must have 1 to {MAX_KEY_LENGTH} '
            'printable characters',
        )
    return Success(text)


def _is_valid_key(key: str) -> bool:
    # Bytes that are not UTF-8 arrive as surrogates, which are not printable.
    return len(key) <= MAX_KEY_LENGTH and key.isprintable()


def read_bearer_token(http_request: web.BaseRequest) -> str:
    """Return the bearer token of a call, or an empty string without one."""
    scheme, _, token = http_request.headers.get(
        'Authorization',
        '',
    ).partition(' ')
    return token.strip() if scheme.lower() == 'bearer' else ''


def digest_key(key: str) -> str:
    """Digest an API key or operator token as the configuration stores it.

    Keys are long random strings, so an unsalted digest cannot be reversed by
    guessing, and the time to look a digest up does not depend on a stored
    secret.
    """
    return hashlib.sha256(key.encode('utf-8', 'surrogateescape')).hexdigest()


# Refusals


def encode_refusal(refusal: Refusal, request_id: str) -> bytes:
    """Encode a refusal in the JSON format of all refusals to callers."""
    return msgspec.json.encode(
        {
            'error': {
                'code': refusal.code,
                'type': refusal.code,
                'message': refusal.message,
                'request_id': request_id,
                'step': refusal.step,
                'peer': refusal.peer,
                'ran': refusal.ran,
                'retry_after': refusal.retry_after,
            },
        },
    )


def build_refusal_response(refusal: Refusal, request_id: str) -> web.Response:
    """Build the HTTP response for a refusal."""
    headers = {REQUEST_ID_HEADER: request_id}
    if refusal.retry_after is not None:
        headers['Retry-After'] = str(math.ceil(refusal.retry_after))
    return web.Response(
        status=refusal.code.status,
        body=encode_refusal(refusal, request_id),
        content_type='application/json',
        headers=headers,
    )


def _fail_bad_request(message: str) -> Result[object, Refusal]:
    return Failure(
        Refusal(RefusalCode.BAD_REQUEST, message, Step.RECEIVE, ran=Ran.NO),
    )


def _refuse_room(message: str, generator: random.Random) -> Refusal:
    return Refusal(
        RefusalCode.NO_CAPACITY,
        message,
        Step.RECEIVE,
        retry_after=generator.uniform(*_ROOM_RETRIES),
    )


def _refuse_too_large(limit: int) -> Refusal:
    return Refusal(
        RefusalCode.TOO_LARGE,
        f'the body is larger than {limit} bytes',
        Step.RECEIVE,
    )
