"""The settings in force, reloaded when their file changes.

The platform may rewrite the file at any time, with or without a signal.  An
invalid file changes nothing.
"""

import asyncio
import logging
from collections.abc import Callable

import attrs
from returns.result import Failure, Result

from ...state.problems import Problem
from ...state.records import record
from ...transport.services import BackgroundService, restarted_task
from .settings import NodeSettings

__all__ = ['SettingsHolder', 'SettingsWatch']

_logger = logging.getLogger(__name__)
#: Seconds between two reads of the file, which has some 2 KB.
_RELOAD_PERIOD = 1.0
#: Settings that take effect only when the process is restarted.
_RESTART_ONLY = (
    'instance',
    'zone',
    'ip',
    'caller_address',
    'ready_address',
    'peer_port',
)

LoadSettings = Callable[[], Result[NodeSettings, list[Problem]]]


class SettingsHolder:
    """The settings in force, of which only some can change at run time."""

    def __init__(self, settings: NodeSettings, load: LoadSettings) -> None:
        """Start with loaded settings, and the function that loads them."""
        self.current = settings
        self._load = load
        self._refused: list[Problem] = []

    def refresh(self) -> None:
        """Load the file and apply the settings that can change at run time."""
        loaded = self._load()
        if isinstance(loaded, Failure):
            self._log_refused(loaded.failure())
            return
        self._refused = []
        offered = loaded.unwrap()
        kept = {name: getattr(self.current, name) for name in _RESTART_ONLY}
        adopted = attrs.evolve(offered, **kept)
        if offered != adopted:
            record(
                _logger,
                'settings_need_restart',
                changed=[
                    name
                    for name in _RESTART_ONLY
                    if getattr(offered, name) != kept[name]
                ],
            )
        if adopted != self.current:
            changed = _describe_changes(self.current, adopted)
            self.current = adopted
            record(_logger, 'settings_reloaded', changed=changed)

    def _log_refused(self, problems: list[Problem]) -> None:
        """Log the problems of the file, once until they change."""
        if problems != self._refused:
            self._refused = problems
            record(
                _logger,
                'settings_refused',
                problems=[str(problem) for problem in problems],
            )


class SettingsWatch(BackgroundService):
    """Reloads the file periodically."""

    abstract = False

    def __init__(self, holder: SettingsHolder) -> None:
        """Prepare to refresh a holder; the first time one period later."""
        super().__init__()
        self._holder = holder

    @restarted_task
    async def _watch(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(_RELOAD_PERIOD)
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
    """Map names to values, those of bounds as ``bounds.NAME``, for the log."""
    nested = attrs.asdict(settings)
    bounds = nested.pop('bounds')
    flat = {name: str(value) for name, value in nested.items()}
    return flat | {f'bounds.{name}': value for name, value in bounds.items()}
