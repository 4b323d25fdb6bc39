"""The settings in force, read again when their file changes.

The platform may write the file anew at any time, with a signal or without one.
A file that can't be used changes nothing.
"""

import asyncio
import logging
from collections.abc import Callable

import attrs
from mode import Service
from returns.result import Failure, Result

from ...state.problems import Problem
from ...state.records import record
from ...transport.services import BackgroundService
from .settings import NodeSettings

__all__ = ['SettingsHolder', 'SettingsWatch']

_logger = logging.getLogger(__name__)
#: Seconds between two looks at the file, which has some 2 KB.
_LOOK_PERIOD = 1.0
#: Settings that only a new process can follow.
_FIXED = (
    'instance',
    'zone',
    'ip',
    'caller_address',
    'ready_address',
    'peer_port',
)

LoadSettings = Callable[[], Result[NodeSettings, list[Problem]]]


class SettingsHolder:
    """The settings of this process."""

    def __init__(self, settings: NodeSettings, load: LoadSettings) -> None:
        """Start with settings that were read, and how to read them again."""
        self.current = settings
        self._load = load
        self._refused: list[Problem] = []

    def refresh(self) -> None:
        """Read the file again and put in force what may change."""
        loaded = self._load()
        if isinstance(loaded, Failure):
            self._note_refused(loaded.failure())
            return
        self._refused = []
        offered = loaded.unwrap()
        kept = {name: getattr(self.current, name) for name in _FIXED}
        adopted = attrs.evolve(offered, **kept)
        if offered != adopted:
            record(
                _logger,
                'settings_need_restart',
                changed=[
                    name
                    for name in _FIXED
                    if getattr(offered, name) != kept[name]
                ],
            )
        if adopted != self.current:
            changed = _describe_changes(self.current, adopted)
            self.current = adopted
            record(_logger, 'settings_reloaded', changed=changed)

    def _note_refused(self, problems: list[Problem]) -> None:
        """Log what is wrong with the file, once."""
        if problems != self._refused:
            self._refused = problems
            record(
                _logger,
                'settings_refused',
                problems=[str(problem) for problem in problems],
            )


class SettingsWatch(BackgroundService):
    """Looks at the file now and then."""

    abstract = False

    def __init__(self, holder: SettingsHolder) -> None:
        """Refresh a holder."""
        super().__init__()
        self._holder = holder

    @Service.task
    async def _watch(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(_LOOK_PERIOD)
            self._holder.refresh()


def _describe_changes(
    before: NodeSettings,
    after: NodeSettings,
) -> dict[str, list[object]]:
    """Describe which settings changed, each with its old and new value."""
    old, new = _flatten(before), _flatten(after)
    return {
        name: [old[name], new[name]] for name in old if old[name] != new[name]
    }


def _flatten(settings: NodeSettings) -> dict[str, object]:
    """Put settings and their bounds side by side, as the log writes them."""
    nested = attrs.asdict(settings)
    bounds = nested.pop('bounds')
    flat = {name: str(value) for name, value in nested.items()}
    return flat | {f'bounds.{name}': value for name, value in bounds.items()}
