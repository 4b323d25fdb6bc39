"""Edit conflicts between operators: the refusal of an outdated edit."""

import difflib

import attrs

from ..protocol.platform import PlatformClient
from ..state.refusals import Refusal, RefusalCode, Step
from .history import FileRow, list_generations, read_generation, read_text

__all__ = ['EditConflict', 'describe_conflict']


@attrs.frozen
class EditConflict:
    """A refused submission whose base generation is not the newest.

    Attributes
    ----------
    meanwhile
        Changes accepted after the base, oldest first.
    difference
        Unified difference from the base's text to the newest one; empty when
        the store could not be read.
    """

    refusal: Refusal
    meanwhile: list[FileRow]
    difference: str


async def describe_conflict(
    platform: PlatformClient,
    name: str,
    base: int,
    newest: int,
) -> EditConflict:
    """Collect the changes accepted since the generation ``base``."""
    listed = await list_generations(platform, name, base)
    rows = listed.value_or([])
    first = await read_generation(platform, name, base)
    difference = difflib.unified_diff(
        await _read_lines(platform, first.value_or(None)),
        await _read_lines(platform, rows[-1] if rows else None),
        f'{name} (generation {base})',
        f'{name} (generation {newest})',
    )
    refusal = Refusal(
        RefusalCode.CONFLICT,
        f'nothing was applied: {name!r} is at generation {newest}, but the '
        f'file was edited from generation {base}',
        Step.CONFIGURE,
    )
    return EditConflict(refusal, rows, ''.join(difference))


async def _read_lines(
    platform: PlatformClient,
    row: FileRow | None,
) -> list[str]:
    if row is None or not row.digest:
        return []
    read = await read_text(platform, row.digest)
    return read.value_or('').splitlines(keepends=True)
