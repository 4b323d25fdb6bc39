"""Whether direct connections bring answers, with a log line at each change."""

import logging

from ....state.directpaths import DirectPaths
from ....state.records import record
from ....transport.deadlines import monotonic

__all__ = ['record_answer', 'record_no_answer']

_logger = logging.getLogger(__name__)


def record_answer(paths: DirectPaths) -> None:
    """Record that a direct connection has brought an answer, or its begin."""
    if paths.record_answered(monotonic()):
        record(_logger, 'direct_paths_answered')


def record_no_answer(paths: DirectPaths, address: str) -> None:
    """Record that a direct connection to an address has brought no answer."""
    if paths.record_unanswered(address, monotonic()):
        record(_logger, 'direct_paths_mute', last=address)
