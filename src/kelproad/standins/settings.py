"""Rates and sizes of a stand-in engine."""

import pathlib
import sys
from typing import Self

import attrs
from returns.result import Failure

from ..protocol.documents import read_document, structure

__all__ = ['EngineSettings']


@attrs.frozen
class EngineSettings:
    """Rates and sizes of the engine.

    Attributes
    ----------
    time_scale
        Factor by which the engine runs faster than its rates, so that a demo
        takes only seconds.
    event_lag, load_lag
        Seconds by which cache events and load reports are delayed.
    interrupts_prefill
        Whether a prompt of higher priority preempts another between its chunks,
        as in engines whose scheduler selects the prompt anew at each step.
    event_gap
        Every n-th cache event is lost; 0 for never.
    continues
        Whether an answer can be continued from text that another engine began.
    fingerprint
        Identifies the build of the model that answers.
    weights_address
        ``IP:port`` of the platform's weight store; without it, loads fetch
        nothing.
    """

    prefill_tokens_per_second: float = 15_000.0
    chunk_tokens: int = 4096
    decode_seconds: float = 0.028
    memory_tokens: int = 400_000
    cache_tokens: int = 200_000
    honours_priorities: bool = True
    enforces_fencing: bool = True
    time_scale: float = 10.0
    load_lag: float = 0.5
    event_lag: float = 1.0
    event_gap: int = 0
    default_max_tokens: int = 16
    interrupts_prefill: bool = False
    continues: bool = True
    fingerprint: str = 'stand-in-1'
    weights_address: str = ''

    @classmethod
    def from_file(cls, path: pathlib.Path | None) -> Self:
        """Read the settings, or exit with their problems; no path: defaults."""
        if path is None:
            return cls()
        document = read_document(path.read_text(), str(path))
        read = document.bind(lambda content: structure(content, cls))
        if isinstance(read, Failure):
            sys.exit('\n'.join(str(item) for item in read.failure()))
        return read.unwrap()
