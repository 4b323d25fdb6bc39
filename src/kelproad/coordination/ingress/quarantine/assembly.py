"""Composition of the parts that guard engines against prompts."""

import random
from collections.abc import Awaitable, Callable
from typing import Self

import attrs
from returns.result import Result

from ....state.counters import QuarantineMetrics
from ....state.directpaths import DirectPaths
from ....state.endpointtable import EndpointTable
from ....state.quarantine import PartQuarantine
from ..limiting.coordinators import CoordinatorSelector
from ..membership.messages import (
    PromptNotice,
    TrialEnd,
    TrialQuery,
    TrialReply,
)
from ..membership.peers import PeerRegister
from ..membership.queries import PeerQueries
from ..placing.memory import EngineOperations
from ..tables.readers import Reader
from ..tables.tablestates import StoreProblem
from .ends import EndObserver
from .guard import PromptGuard
from .notices import PromptNotices
from .refusing import RefusalBuilder
from .rows import QuarantineRows
from .trials import TrialCoordinator

__all__ = ['PromptQuarantine']


@attrs.frozen
class PromptQuarantine:
    """What all instances know of parts of prompts on which engines crash.

    Attributes
    ----------
    parts
        The suspect and quarantined parts.
    notices
        What instances tell each other of them.
    trials
        Trials of suspect parts, one at a time.
    rows
        Quarantined parts in the store.
    """

    parts: PartQuarantine
    notices: PromptNotices
    trials: TrialCoordinator
    rows: QuarantineRows

    @classmethod
    def from_peers(
        cls,
        table: EndpointTable,
        queries: PeerQueries,
        peers: PeerRegister,
        selector: CoordinatorSelector,
        own: Reader,
        write_row: Callable[
            [str, bytes], Awaitable[Result[None, StoreProblem]]
        ],
    ) -> Self:
        """Build the parts, and tell all to peers that are heard anew.

        ``selector`` selects the instance that permits trials, ``own`` is this
        one.
        """
        parts = PartQuarantine(lambda service: len(table.in_group(service)))
        notices = PromptNotices(parts, queries, peers)
        peers.on_heard.append(notices.greet)
        return cls(
            parts,
            notices,
            TrialCoordinator(selector, peers, queries, own),
            QuarantineRows(parts, write_row),
        )

    def create_guard(
        self,
        operations: EngineOperations,
        table: EndpointTable,
        paths: DirectPaths,
        metrics: QuarantineMetrics,
        generator: random.Random,
    ) -> PromptGuard:
        """Create the guard of the calls of this instance."""
        observer = EndObserver(
            self.parts,
            self.notices,
            self.rows,
            operations,
            table,
            paths,
            metrics,
            generator,
        )
        return PromptGuard(
            self.parts,
            self.trials,
            observer,
            self.notices,
            self.rows,
            RefusalBuilder(metrics, generator),
        )

    def answer(
        self, query: PromptNotice | TrialQuery | TrialEnd
    ) -> TrialReply | None:
        """Take a notice, or answer a query for a trial."""
        if isinstance(query, PromptNotice):
            self.notices.accept(query)
        elif isinstance(query, TrialEnd):
            self.trials.accept_end(query)
        else:
            return self.trials.answer(query)
        return None
