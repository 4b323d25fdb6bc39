"""At most once: a key is claimed in the platform's table before dispatch.

The row is inserted on the condition that it does not exist.  It never
expires: a paused owner could still dispatch, so no time that passes makes it
safe to let another process run the work.
"""

import hashlib
import uuid

import attrs
import msgspec
from returns.result import Failure, Result, Success

from ..protocol.platform import (
    ABSENT,
    PlatformClient,
    Row,
    StoreError,
    StoreErrorKind,
    Write,
)
from ..state.claims import ClaimRecord, ClaimState, RecordedAnswer
from ..state.counters import Counters
from ..state.identity import Identity
from ..state.refusals import Ran, Refusal, RefusalCode, Step

__all__ = ['Claim', 'Claims', 'digest_request']

_TABLE = 'claims'
#: Largest answer that is kept in the row, in bytes.
MAX_RECORDED_BYTES = 65_536
_STORE_TIMEOUT = 2.0
_ASK_AGAIN = 2.0
_DIGEST_BYTES = 16


@attrs.frozen
class Claim:
    """A claim that this process holds; only it may dispatch the work."""

    key: str
    record: ClaimRecord
    version: int


def digest_request(method: str, path: str, body: bytes) -> str:
    """Digest what makes two requests under one key the same."""
    digest = hashlib.blake2b(
        f'{method} {path}\n'.encode(), digest_size=_DIGEST_BYTES
    )
    digest.update(body)
    return digest.hexdigest()


class Claims:
    """Claims of this process on idempotency keys."""

    def __init__(
        self,
        identity: Identity,
        platform: PlatformClient,
        counters: Counters,
    ) -> None:
        """Keep claims in the platform's table."""
        self._identity = identity
        self._platform = platform
        self._counters = counters

    async def acquire(
        self,
        workspace: str,
        key: str,
        request_digest: str,
    ) -> Result[Claim | RecordedAnswer, Refusal]:
        """Claim a key, or find out what became of it.

        Returns
        -------
        Result
            A claim that permits one dispatch; the recorded answer when the
            work is done; else a refusal.
        """
        row_key = f'{workspace}/{key}'
        record = ClaimRecord(
            token=uuid.uuid4().hex,
            owner=self._identity.owner,
            request_digest=request_digest,
            state=ClaimState.OPEN,
        )
        written = await self._platform.transact(
            [Write(_TABLE, row_key, _encode(record), ABSENT)],
            _STORE_TIMEOUT,
        )
        outcome = await self._settle_insert(row_key, record, written)
        self._count(outcome)
        return outcome

    async def record(self, claim: Claim, answer: RecordedAnswer) -> None:
        """Record that the work ran, with its answer."""
        body = answer.body
        if body is not None and len(body.encode()) > MAX_RECORDED_BYTES:
            answer = attrs.evolve(answer, body=None)
        record = attrs.evolve(
            claim.record,
            state=ClaimState.DONE,
            answer=answer,
        )
        await self._overwrite(claim, record)

    async def leave_unknown(self, claim: Claim) -> None:
        """Record that the work was dispatched with an unknown outcome."""
        await self._overwrite(
            claim,
            attrs.evolve(claim.record, state=ClaimState.UNKNOWN),
        )

    async def release(self, claim: Claim) -> None:
        """Give a key back.

        Only the holder may do so, and only when it knows that it did not
        dispatch and never will.
        """
        await self._platform.transact(
            [Write(_TABLE, claim.key, None, claim.version)],
            _STORE_TIMEOUT,
        )

    async def _settle_insert(
        self,
        row_key: str,
        record: ClaimRecord,
        written: Result[None, StoreError],
    ) -> Result[Claim | RecordedAnswer, Refusal]:
        if isinstance(written, Success):
            return Success(Claim(row_key, record, 1))
        error = written.failure()
        if error.kind is StoreErrorKind.UNAVAILABLE:
            return Failure(_refuse_unrecorded(error))
        # Either another row stands there, or the answer to our own insert was
        # lost; the row's token tells which.
        found = await self._platform.read_row(_TABLE, row_key, _STORE_TIMEOUT)
        if isinstance(found, Failure):
            return Failure(_refuse_unrecorded(found.failure()))
        return _judge(found.unwrap(), row_key, record, error)

    async def _overwrite(self, claim: Claim, record: ClaimRecord) -> None:
        await self._platform.transact(
            [Write(_TABLE, claim.key, _encode(record), claim.version)],
            _STORE_TIMEOUT,
        )

    def _count(
        self,
        outcome: Result[Claim | RecordedAnswer, Refusal],
    ) -> None:
        if isinstance(outcome, Failure):
            label = str(outcome.failure().code)
        else:
            held = isinstance(outcome.unwrap(), Claim)
            label = 'claimed' if held else 'repeated'
        self._counters.claims.inc({'outcome': label})


def _judge(
    row: Row | None,
    row_key: str,
    mine: ClaimRecord,
    error: StoreError,
) -> Result[Claim | RecordedAnswer, Refusal]:
    """Decide what the row that stands under a key means for a request."""
    if row is None:
        # The insert may still take effect later.  This process will not
        # dispatch, so the row would only make the key unusable, never run.
        return Failure(_refuse_unrecorded(error))
    record = msgspec.json.decode(row.body, type=ClaimRecord)
    if record.token == mine.token:
        return Success(Claim(row_key, mine, row.version))
    if record.request_digest != mine.request_digest:
        return Failure(
            Refusal(
                RefusalCode.KEY_REUSED,
                'the idempotency key belongs to another request',
                Step.CLAIM,
                peer=record.owner,
            ),
        )
    if record.state is ClaimState.DONE and record.answer is not None:
        return Success(record.answer)
    return Failure(_refuse_unresolved(record))


def _refuse_unresolved(record: ClaimRecord) -> Refusal:
    in_progress = record.state is ClaimState.OPEN
    return Refusal(
        RefusalCode.KEY_IN_PROGRESS
        if in_progress
        else RefusalCode.OUTCOME_UNKNOWN,
        'the key is in progress elsewhere'
        if in_progress
        else 'the work under this key was dispatched; its outcome is unknown',
        Step.CLAIM,
        peer=record.owner,
        ran=Ran.UNKNOWN,
        retry_after=_ASK_AGAIN,
    )


def _refuse_unrecorded(error: StoreError) -> Refusal:
    return Refusal(
        RefusalCode.CLAIM_UNRECORDED,
        f'the claim could not be recorded: {error.message}',
        Step.CLAIM,
        peer=error.peer,
        retry_after=_ASK_AGAIN,
    )


def _encode(record: ClaimRecord) -> str:
    return msgspec.json.encode(record).decode()
