"""The operators' API for files: apply, read and history."""

import attrs
import msgspec
from aiohttp import web
from returns.result import Failure, Result

from ..protocol import callers
from ..protocol.store import StoreError
from ..state.configuration import SnapshotHolder
from ..state.problems import UNREADABLE_ERRORS, Problem
from ..state.refusals import Refusal, RefusalCode, Step
from .acceptance import ConfigurationWriter, Submission
from .conflicts import EditConflict
from .history import (
    HISTORY_TIMEOUT,
    list_generations,
    read_generation,
    read_text,
)

__all__ = ['FileApi', 'answer_json']


@attrs.frozen
class _ApplyBody:
    base_generation: int
    apply_id: str
    text: str = ''
    source: str = ''
    dry_run: bool = False
    remove: str = ''


class FileApi:
    """Handles operators' calls on files; callers are already authenticated."""

    def __init__(
        self,
        writer: ConfigurationWriter,
        holder: SnapshotHolder,
    ) -> None:
        """Apply files through a writer; show those in force in a holder."""
        self._writer = writer
        self._holder = holder

    async def apply(
        self,
        http_request: web.Request,
        operator: str,
    ) -> web.Response:
        """Apply a file, or the removal of one."""
        try:
            body = msgspec.json.decode(
                await http_request.read(),
                type=_ApplyBody,
            )
        except UNREADABLE_ERRORS as error:
            return _answer_refusal(RefusalCode.BAD_REQUEST, str(error))
        submission = Submission(
            body.text,
            body.source,
            body.base_generation,
            operator,
            body.apply_id,
            body.remove,
        )
        outcome = await self._writer.apply(submission, body.dry_run)
        if isinstance(outcome, Failure):
            return _answer_failed(outcome.failure())
        return answer_json(outcome.unwrap())

    async def get_file(
        self,
        http_request: web.Request,
        _operator: str,
    ) -> web.Response:
        """Show a file in force; a removed one only by its generation."""
        name = http_request.match_info['name']
        snapshot = self._holder.current
        applied = snapshot.files.get(name)
        if applied is None or not applied.digest:
            generation = snapshot.accepted_generation(name)
            return _answer_refusal(
                RefusalCode.NOT_FOUND,
                f'no file {name!r} is in force',
                {'generation': generation},
            )
        return answer_json(
            {
                'name': name,
                'generation': applied.generation,
                'revision': applied.revision,
                'text': applied.text,
            },
        )

    async def list_files(
        self,
        _http_request: web.Request,
        _operator: str,
    ) -> web.Response:
        """List the files in force and those that cannot be read here."""
        snapshot = self._holder.current
        return answer_json(
            {
                'revision': snapshot.revision,
                'files': [
                    {
                        'name': applied.name,
                        'generation': applied.generation,
                        'revision': applied.revision,
                    }
                    for applied in snapshot.files.values()
                    if applied.digest
                ],
                'pending': list(snapshot.pending.values()),
            },
        )

    async def list_history(
        self,
        http_request: web.Request,
        _operator: str,
    ) -> web.Response:
        """List every accepted change of a file, oldest first."""
        name = http_request.match_info['name']
        listed = await list_generations(self._writer.platform, name)
        if isinstance(listed, Failure):
            return _answer_store_error(listed)
        return answer_json({'name': name, 'history': listed.unwrap()})

    async def get_generation(
        self,
        http_request: web.Request,
        _operator: str,
    ) -> web.Response:
        """Show the text of one generation of a file."""
        name = http_request.match_info['name']
        number = http_request.match_info['generation']
        platform = self._writer.platform
        found = await read_generation(platform, name, int(number))
        if isinstance(found, Failure):
            return _answer_store_error(found)
        row = found.unwrap()
        if row is None:
            return _answer_refusal(
                RefusalCode.NOT_FOUND,
                f'{name!r} has no generation {number}',
            )
        text = ''
        if row.digest:
            read = await read_text(platform, row.digest)
            if isinstance(read, Failure):
                return _answer_store_error(read)
            text = read.unwrap()
        return answer_json({'row': row, 'text': text})


def answer_json(
    content: object,
    status: int = 200,
) -> web.Response:
    """Build a JSON response; attrs classes are encoded as objects."""
    return web.Response(
        status=status,
        body=msgspec.json.encode(content),
        content_type='application/json',
    )


def _answer_failed(
    failed: Refusal | list[Problem] | EditConflict,
) -> web.Response:
    if isinstance(failed, Refusal):
        return callers.build_refusal_response(failed, '')
    if isinstance(failed, EditConflict):
        return _answer_refusal(
            failed.refusal.code,
            failed.refusal.message,
            {
                'meanwhile': failed.meanwhile,
                'difference': failed.difference,
            },
        )
    return _answer_refusal(
        RefusalCode.INVALID,
        f'nothing was applied: {len(failed)} problems',
        {'problems': [str(problem) for problem in failed]},
    )


def _answer_refusal(
    code: RefusalCode,
    message: str,
    details: dict[str, object] | None = None,
) -> web.Response:
    refusal = Refusal(code, message, Step.CONFIGURE)
    body = msgspec.json.decode(callers.encode_refusal(refusal, ''))
    return answer_json({**body, **(details or {})}, code.status)


def _answer_store_error(failed: Result[object, StoreError]) -> web.Response:
    error = failed.failure()
    return callers.build_refusal_response(
        Refusal(
            RefusalCode.UNAVAILABLE,
            f'{error.operation}: {error.message}',
            Step.STORE,
            peer=error.peer,
            retry_after=HISTORY_TIMEOUT,
        ),
        '',
    )
