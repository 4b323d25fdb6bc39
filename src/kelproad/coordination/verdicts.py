"""What the row that stands under a key means for a caller.

Every answer given here stays true: while anybody might still run the work,
the caller hears that it is unknown, however long ago the claim was made.
"""

import time

import attrs
from returns.result import Failure, Result, Success

from ..protocol.store import Row, StoreError
from ..state.claims import ClaimRecord, ClaimState, RecordedAnswer
from ..state.refusals import Ran, Refusal, RefusalCode, Step

__all__ = ['Acquired', 'Claim', 'judge', 'refuse_unrecorded']

#: Largest answer that is kept in the row, in bytes.
MAX_RECORDED_BYTES = 65_536
#: Seconds for which a recorded answer is repeated; the row itself stays.
ANSWER_KEPT = 86_400.0
#: Seconds after the owner's deadline in which it may still be settling.
_SETTLE_MARGIN = 1.0
_SOONEST_ASK = 0.5
_LATEST_ASK = 3600.0
_LONGEST_OUTAGE_ASK = 30.0


@attrs.define
class Claim:
    """A claim that this process holds; only it may dispatch the work.

    Attributes
    ----------
    settled
        Its outcome is decided, so nothing more may be dispatched under it.
    """

    key: str
    record: ClaimRecord
    version: int
    settled: bool = False


#: A claim that permits one dispatch, a finished one's answer, or a refusal.
Acquired = Result[Claim | RecordedAnswer, Refusal]


def judge(row: Row, standing: ClaimRecord, mine: ClaimRecord) -> Acquired:
    """Decide what the row that stands under a key means for a request."""
    if standing.token == mine.token:
        return Success(Claim(row.key, mine, row.version))
    if standing.request_digest != mine.request_digest:
        return Failure(
            Refusal(
                RefusalCode.KEY_REUSED,
                'the idempotency key belongs to another request',
                Step.CLAIM,
                peer=standing.owner,
            ),
        )
    if standing.state is ClaimState.DONE:
        return _repeat_answer(standing)
    return Failure(_refuse_unresolved(standing, time.time()))


def _repeat_answer(standing: ClaimRecord) -> Acquired:
    age = time.time() - standing.settled_at
    if standing.answer.body is None:
        message = f'its answer exceeds the {MAX_RECORDED_BYTES} bytes kept'
    elif age > ANSWER_KEPT:
        message = f'its answer was kept for {ANSWER_KEPT:.0f} s only'
    else:
        return Success(standing.answer)
    return Failure(
        Refusal(
            RefusalCode.CONFLICT,
            f'the work under this key ran; {message}',
            Step.CLAIM,
            peer=standing.owner,
            ran=Ran.YES,
        ),
    )


def _refuse_unresolved(standing: ClaimRecord, now: float) -> Refusal:
    """Tell what is known of a claim that somebody else holds.

    While the owner has time left, it may answer by then.  Past that, the
    longer a claim has been unresolved, the less likely it still is to be.
    """
    remaining = standing.answer_due + _SETTLE_MARGIN - now
    if standing.state is ClaimState.OPEN and remaining > 0:
        code = RefusalCode.KEY_IN_PROGRESS
        message = 'the key is in progress elsewhere'
    else:
        code = RefusalCode.OUTCOME_UNKNOWN
        message = 'the work under this key may have run; nobody knows'
    return Refusal(
        code,
        message,
        Step.CLAIM,
        peer=standing.owner,
        ran=Ran.UNKNOWN,
        retry_after=_clamp(abs(remaining), _SOONEST_ASK, _LATEST_ASK),
    )


def refuse_unrecorded(error: StoreError, silent_seconds: float) -> Refusal:
    """Refuse; the longer the platform is silent, the later to ask."""
    return Refusal(
        RefusalCode.CLAIM_UNRECORDED,
        f'the claim could not be recorded: {error.message}',
        Step.CLAIM,
        peer=error.peer,
        retry_after=_clamp(silent_seconds, _SOONEST_ASK, _LONGEST_OUTAGE_ASK),
    )


def _clamp(seconds: float, least: float, most: float) -> float:
    return min(max(seconds, least), most)
