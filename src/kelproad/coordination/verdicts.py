"""What the current row of a key means for a caller.

Every answer given here remains true: while any process might still run the
work, the caller is told that its outcome is unknown, however old the claim is.
"""

import time

import attrs
from returns.result import Failure, Result, Success

from ..protocol.store import Row, StoreError
from ..state.claims import ClaimRecord, ClaimState, RecordedAnswer
from ..state.refusals import Ran, Refusal, RefusalCode, Step

__all__ = ['Acquired', 'Claim', 'evaluate_row', 'refuse_unrecorded']

#: Bytes of the largest answer body that is kept in the row.
MAX_RECORDED_BYTES = 65_536
#: Seconds for which a recorded answer is repeated; the row itself stays.
ANSWER_RETENTION = 86_400.0
#: Seconds past the owner's deadline in which it may still be settling.
_SETTLE_MARGIN = 1.0
#: Bounds of the seconds after which callers are asked to retry; the last one
#: is the upper bound while the platform does not answer.
_MIN_RETRY_AFTER = 0.5
_MAX_RETRY_AFTER = 3600.0
_MAX_OUTAGE_RETRY_AFTER = 30.0


@attrs.define
class Claim:
    """A claim that this process holds; only it may dispatch the work.

    Attributes
    ----------
    settled
        Whether its outcome is decided; then nothing more may be dispatched
        under it.
    """

    key: str
    record: ClaimRecord
    version: int
    settled: bool = False


#: A claim that permits one dispatch, the answer of a done one, or a refusal.
Acquired = Result[Claim | RecordedAnswer, Refusal]


def evaluate_row(
    row: Row,
    current: ClaimRecord,
    new_claim: ClaimRecord,
) -> Acquired:
    """Decide what the current row of a key means for a request."""
    if current.token == new_claim.token:
        return Success(Claim(row.key, new_claim, row.version))
    if current.request_digest != new_claim.request_digest:
        return Failure(
            Refusal(
                RefusalCode.KEY_REUSED,
                'the idempotency key belongs to another request',
                Step.CLAIM,
                peer=current.owner,
            ),
        )
    if current.state is ClaimState.DONE:
        return _repeat_answer(current)
    return Failure(_refuse_unresolved(current, time.time()))


def _repeat_answer(current: ClaimRecord) -> Acquired:
    age = time.time() - current.settled_at
    if current.answer.body is None:
        message = f'its answer exceeds the {MAX_RECORDED_BYTES} bytes kept'
    elif age > ANSWER_RETENTION:
        message = f'its answer was kept for {ANSWER_RETENTION:.0f} s only'
    else:
        return Success(current.answer)
    return Failure(
        Refusal(
            RefusalCode.CONFLICT,
            f'the work under this key ran; {message}',
            Step.CLAIM,
            peer=current.owner,
            ran=Ran.YES,
        ),
    )


def _refuse_unresolved(current: ClaimRecord, now: float) -> Refusal:
    """Refuse because of another request's open or unknown claim.

    While the owner has time left, the claim may be settled by its deadline.
    After that, the longer a claim has been unresolved, the less likely it is
    to be resolved at all, so the retry time grows with its age.
    """
    remaining = current.answer_due + _SETTLE_MARGIN - now
    if current.state is ClaimState.OPEN and remaining > 0:
        code = RefusalCode.KEY_IN_PROGRESS
        message = 'another request with this key is in progress'
    else:
        code = RefusalCode.OUTCOME_UNKNOWN
        message = 'it is not known whether the work under this key ran'
    return Refusal(
        code,
        message,
        Step.CLAIM,
        peer=current.owner,
        ran=Ran.UNKNOWN,
        retry_after=_clamp(abs(remaining), _MIN_RETRY_AFTER, _MAX_RETRY_AFTER),
    )


def refuse_unrecorded(error: StoreError, silent_seconds: float) -> Refusal:
    """Refuse; the retry time grows while the platform does not answer."""
    return Refusal(
        RefusalCode.CLAIM_UNRECORDED,
        f'the claim could not be recorded: {error.message}',
        Step.CLAIM,
        peer=error.peer,
        retry_after=_clamp(
            silent_seconds,
            _MIN_RETRY_AFTER,
            _MAX_OUTAGE_RETRY_AFTER,
        ),
    )


def _clamp(seconds: float, least: float, most: float) -> float:
    return min(max(seconds, least), most)
