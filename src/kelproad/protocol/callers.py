"""What callers send and get: completions, and the one shape of refusals.

The completion calls follow the OpenAI HTTP API so that existing clients work
unchanged.  A body is parsed once and shallowly: the prompt, which may be
megabytes, stays a view into the received bytes.
"""

import codecs
import hashlib
import math
import re
from typing import Self

import attrs
import msgspec
from aiohttp import web
from aiohttp.http_exceptions import HttpProcessingError
from returns.result import Failure, Result, Success

from ..state.refusals import Ran, Refusal, RefusalCode, Step

__all__ = [
    'DEADLINE_HEADER',
    'KEY_HEADER',
    'REPLAYED_HEADER',
    'REQUEST_ID_HEADER',
    'SEGMENTS_HEADER',
    'CompletionBody',
    'answer_refusal',
    'digest_key',
    'encode_refusal',
    'parse_deadline',
    'parse_key',
    'read_body',
    'read_bearer',
]

DEADLINE_HEADER = 'X-Deadline-Seconds'
KEY_HEADER = 'Idempotency-Key'
REQUEST_ID_HEADER = 'X-Request-Id'
REPLAYED_HEADER = 'Idempotency-Replayed'
SEGMENTS_HEADER = 'X-Segments'
MAX_KEY_LENGTH = 255
_DECIMAL = re.compile(r'[0-9]{1,9}(\.[0-9]{1,9})?')

RawFields = dict[str, msgspec.Raw]


@attrs.frozen
class CompletionBody:
    """A completion call, parsed no deeper than the system needs.

    Attributes
    ----------
    fields
        Every field of the body as raw JSON.
    model
        Model that the caller asks for.
    stream
        Whether the caller wants server-sent events.
    prompt
        View of the raw JSON of the prompt or the messages.
    """

    fields: RawFields
    model: str
    stream: bool
    prompt: memoryview

    @classmethod
    def from_bytes(cls, body: bytes, field: str) -> Result[Self, Refusal]:
        """Parse a body whose prompt stands under ``field``."""
        try:
            fields = msgspec.json.decode(body, type=RawFields)
            model = msgspec.json.decode(fields[_MODEL], type=str)
            stream = msgspec.json.decode(
                fields.get(_STREAM, _RAW_FALSE),
                type=bool | None,
            )
            prompt = memoryview(fields[field])
        except KeyError as missing:
            return _refuse_body(f'the body has no field {missing}')
        except (
            msgspec.DecodeError,
            UnicodeDecodeError,
            # A body of nothing but opening brackets.
            RecursionError,
        ) as error:
            return _refuse_body(f'malformed body: {error}')
        return Success(cls(fields, model, bool(stream), prompt))

    def estimate_tokens(self, bytes_per_token: float) -> int:
        """Estimate the prompt's tokens from its bytes.

        The divisor is declared per service.  For English text at the default
        of 4 the estimate is within a quarter of the true count; text in other
        scripts needs its own divisor.
        """
        return max(1, math.ceil(self.prompt.nbytes / bytes_per_token))

    def encode_streaming(self) -> bytes:
        """Encode the body for an engine: the same fields, streamed.

        The body never goes on as it came: of a key that stands twice, this
        program checked the last value, and an engine might take the first.
        """
        return msgspec.json.encode({**self.fields, _STREAM: _RAW_TRUE})


_MODEL = 'model'
_STREAM = 'stream'
_RAW_TRUE = msgspec.Raw(b'true')
_RAW_FALSE = msgspec.Raw(b'false')


async def read_body(
    http_request: web.BaseRequest,
    limit: int,
    text: bool = True,
) -> Result[bytes, Refusal]:
    """Read a body of at most ``limit`` bytes.

    A declared length over the limit is refused before anything is read.  Text
    must be UTF-8; it is checked as it arrives, so that no second copy of it
    is made.
    """
    declared = http_request.content_length
    if declared is not None and declared > limit:
        return Failure(_too_large(limit))
    check_text = codecs.getincrementaldecoder('utf-8')()
    received = bytearray()
    try:
        async for chunk in http_request.content.iter_any():
            received += chunk
            if len(received) > limit:
                return Failure(_too_large(limit))
            check_text.decode(chunk if text else b'')
        check_text.decode(b'', final=True)
    except UnicodeDecodeError:
        return _refuse_body('the body is not UTF-8')
    except (web.RequestPayloadError, HttpProcessingError):
        # Wrong chunk sizes, or a content encoding that does not decode.
        return _refuse_body('the body is not encoded as its headers say')
    return Success(bytes(received))


def parse_deadline(
    text: str | None,
    default: float,
    maximum: float,
) -> Result[float, Refusal]:
    """Parse the seconds a caller gives a request, bounded by the service."""
    if text is None:
        return Success(default)
    # float() takes more than a caller can mean: nan, 1e400, 1_0, digits of
    # other scripts.
    if not _DECIMAL.fullmatch(text) or not float(text):
        return _refuse_body(
            f'{DEADLINE_HEADER} must be a decimal number of seconds above zero',
        )
    return Success(min(float(text), maximum))


def parse_key(text: str | None) -> Result[str, Refusal]:
    """Check an idempotency key; no key gives an empty one."""
    if text is None:
        return Success('')
    if not text.strip() or not _is_fit(text):
        return _refuse_body(
            f'{KEY_HEADER} must have 1 to {MAX_KEY_LENGTH} printable '
            'characters',
        )
    return Success(text)


def _is_fit(key: str) -> bool:
    # Bytes that are not UTF-8 arrive as surrogates, which are not printable.
    return len(key) <= MAX_KEY_LENGTH and key.isprintable()


def read_bearer(http_request: web.BaseRequest) -> str:
    """Return the bearer token of a call, empty when there is none."""
    scheme, _, token = http_request.headers.get(
        'Authorization',
        '',
    ).partition(' ')
    return token.strip() if scheme.lower() == 'bearer' else ''


def digest_key(key: str) -> str:
    """Digest an API key or operator token as configuration stores it.

    Keys are long random strings, so a plain digest cannot be guessed back,
    and looking a digest up takes no time that depends on a stored secret.
    """
    return hashlib.sha256(key.encode('utf-8', 'surrogateescape')).hexdigest()


# Refusals


def encode_refusal(refusal: Refusal, request_id: str) -> bytes:
    """Encode a refusal in the one JSON shape that callers get."""
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


def answer_refusal(refusal: Refusal, request_id: str) -> web.Response:
    """Build the HTTP answer of a refusal."""
    headers = {REQUEST_ID_HEADER: request_id}
    if refusal.retry_after is not None:
        headers['Retry-After'] = str(math.ceil(refusal.retry_after))
    return web.Response(
        status=refusal.code.status,
        body=encode_refusal(refusal, request_id),
        content_type='application/json',
        headers=headers,
    )


def _refuse_body(message: str) -> Result[object, Refusal]:
    return Failure(
        Refusal(RefusalCode.BAD_REQUEST, message, Step.RECEIVE, ran=Ran.NO),
    )


def _too_large(limit: int) -> Refusal:
    return Refusal(
        RefusalCode.TOO_LARGE,
        f'the body is larger than {limit} bytes',
        Step.RECEIVE,
    )
