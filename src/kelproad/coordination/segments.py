"""Answering a prompt that is larger than any engine's memory, in parts.

A service may opt in.  The prompt is cut at declared record boundaries into
parts that fit, each part is answered as an idempotent request of its own, and
a declared combining prompt turns the parts' answers into one.  All parts share
the caller's deadline; if one part fails, the whole request fails.
"""

import asyncio

import attrs
import msgspec
from returns.result import Failure, Result, Success

from ..protocol.callers import CompletionBody
from ..state.buffers import BufferBudget
from ..state.declarations import Segmenting, Service
from ..state.problems import UNREADABLE_ERRORS
from ..state.refusals import Ran, Refusal, RefusalCode, Step
from ..state.requests import Decision, Request, SplitPrompt
from .answers import Sink
from .attempts import Attempts
from .delivery import BufferedDelivery

__all__ = ['answer_in_parts', 'split_body', 'split_prompt']

_PATH = '/v1/completions'


class _PartRefusedError(Exception):
    """A part failed, so the request fails too."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.message)
        self.refusal = refusal


def split_prompt(
    prompt: str,
    segmenting: Segmenting,
    bytes_per_token: float,
) -> Result[SplitPrompt, Refusal]:
    """Cut a prompt at record boundaries into parts of a bounded size.

    Parameters
    ----------
    prompt
        The prompt to cut.
    segmenting
        Where to cut, and the maximum size of a part, in tokens.
    bytes_per_token
        Divisor of the length estimate, as declared by the service.

    Returns
    -------
    Result
        The parts in order, or a refusal if a single record exceeds the size
        of a part, or if there would be too many parts.
    """
    heading, records = _separate_heading(prompt, segmenting)
    size = len(heading.encode())
    limit = int(segmenting.tokens * bytes_per_token) - size
    packed: list[list[str]] = [[]]
    room = limit
    for record in records.split(segmenting.boundary):
        length = len(record.encode()) + len(segmenting.boundary.encode())
        if length > limit:
            return Failure(_refuse_record(length, segmenting))
        if length > room:
            packed.append([])
            room = limit
        packed[-1].append(record)
        room -= length
    if len(packed) > segmenting.most_parts:
        return Failure(_refuse_part_count(len(packed), segmenting))
    joined = [segmenting.boundary.join(part) for part in packed]
    return Success(SplitPrompt(heading, joined))


def split_body(
    body: CompletionBody,
    service: Service,
) -> Result[SplitPrompt, Refusal]:
    """Cut the prompt of a completion call into parts."""
    try:
        prompt = msgspec.json.decode(body.prompt, type=str)
    except UNREADABLE_ERRORS:
        return Failure(_refuse_prompt_type())
    return split_prompt(prompt, service.segments, service.bytes_per_token)


async def answer_in_parts(
    attempts: Attempts,
    request: Request,
    body: CompletionBody,
    decision: Decision,
    sink: Sink,
    buffers: BufferBudget,
) -> Result[None, Refusal]:
    """Answer every part, then deliver the answer that combines them.

    The caller of this function bounds it by the request's deadline.

    Raises
    ------
    CallerDisconnectedError
        As the sink does.
    """
    parts, segmenting = request.parts, request.service.segments
    decision.note('segmented', parts=len(parts.records))
    answered = await _answer_all(attempts, request, body, buffers)
    if isinstance(answered, Failure):
        return answered
    combined = segmenting.boundary.join(
        [parts.heading + segmenting.combine, *answered.unwrap()],
    )
    request.prompt_tokens = _estimate_tokens(combined, request)
    return await attempts.answer(
        request,
        _PATH,
        _replace_prompt(body, combined),
        decision,
        sink,
    )


# Parts


async def _answer_all(
    attempts: Attempts,
    request: Request,
    body: CompletionBody,
    buffers: BufferBudget,
) -> Result[list[str], Refusal]:
    """Answer all parts; the first failure cancels the others."""
    parts, segmenting = request.parts, request.service.segments
    limited = _limit_answer_tokens(body, segmenting)
    semaphore = asyncio.Semaphore(segmenting.parallel)
    try:
        async with asyncio.TaskGroup() as group:
            tasks = [
                group.create_task(
                    _answer_part(
                        attempts,
                        request,
                        number,
                        _replace_prompt(limited, parts.heading + records),
                        buffers,
                        semaphore,
                    ),
                )
                for number, records in enumerate(parts.records, 1)
            ]
    except ExceptionGroup as failed:
        refused, others = failed.split(_PartRefusedError)
        if others is not None:
            raise
        return Failure(refused.exceptions[0].refusal)
    return Success([task.result() for task in tasks])


async def _answer_part(
    attempts: Attempts,
    request: Request,
    number: int,
    body: CompletionBody,
    buffers: BufferBudget,
    semaphore: asyncio.Semaphore,
) -> str:
    """Answer one part, and record in the request whether it may have run."""
    part = _create_part(request, number)
    sink = BufferedDelivery(
        stream=False,
        request_id=part.request_id,
        budget=buffers,
    )
    async with semaphore:
        # Applies if another part's failure cancels this one.
        ran = Ran.UNKNOWN
        try:
            outcome = await attempts.answer(
                part,
                _PATH,
                body,
                Decision.from_request(part),
                sink,
            )
            if isinstance(outcome, Failure):
                refusal = part.complete_refusal(outcome.failure())
                ran = refusal.ran
                raise _PartRefusedError(_wrap_refusal(refusal))
        finally:
            request.record_ran(ran)
    response = await sink.finish()
    return msgspec.json.decode(response.body, type=_Answer).choices[0].text


@attrs.frozen
class _Choice:
    text: str


@attrs.frozen
class _Answer:
    choices: list[_Choice]


def _create_part(request: Request, number: int) -> Request:
    """Derive the request of a part, which may always be repeated.

    The claim on the key covers the request as a whole, and by opting in the
    service has declared its parts idempotent.
    """
    return attrs.evolve(
        request,
        request_id=f'{request.request_id}:part{number}',
        prompt_tokens=request.service.segments.tokens,
        attempts=0,
        idempotency_key='',
        ran=Ran.NO,
        parts=None,
    )


def _limit_answer_tokens(
    body: CompletionBody,
    segmenting: Segmenting,
) -> CompletionBody:
    limit = msgspec.Raw(str(segmenting.answer_tokens).encode())
    return attrs.evolve(body, fields={**body.fields, 'max_tokens': limit})


def _replace_prompt(body: CompletionBody, prompt: str) -> CompletionBody:
    encoded = msgspec.Raw(msgspec.json.encode(prompt))
    return attrs.evolve(
        body,
        fields={**body.fields, 'prompt': encoded},
        prompt=memoryview(encoded),
    )


def _separate_heading(
    prompt: str,
    segmenting: Segmenting,
) -> tuple[str, str]:
    """Split a prompt into its heading and its records."""
    if not segmenting.heading_end:
        return '', prompt
    heading, end, records = prompt.partition(segmenting.heading_end)
    return (heading + end, records) if end else ('', prompt)


def _estimate_tokens(prompt: str, request: Request) -> int:
    return int(len(prompt.encode()) / request.service.bytes_per_token) + 1


# Refusals


def _refuse_record(length: int, segmenting: Segmenting) -> Refusal:
    return Refusal(
        RefusalCode.TOO_LARGE,
        f'a record of {length} bytes does not fit into a part of '
        f'{segmenting.tokens} tokens',
        Step.ADMIT,
    )


def _refuse_part_count(count: int, segmenting: Segmenting) -> Refusal:
    return Refusal(
        RefusalCode.TOO_LARGE,
        f'the prompt needs {count} parts; at most {segmenting.most_parts} '
        'are allowed',
        Step.ADMIT,
    )


def _refuse_prompt_type() -> Refusal:
    return Refusal(
        RefusalCode.TOO_LARGE,
        'only a prompt that is a single string is answered in parts',
        Step.ADMIT,
    )


def _wrap_refusal(refusal: Refusal) -> Refusal:
    return attrs.evolve(refusal, message=f'a part failed: {refusal.message}')
