"""Whether what is known of a quarantined part proves it for a call.

Engines may have ended for another reason each time: another part of their
prompts, what one workspace sends, or requests that end engines by what they
alone ask for.
"""

from collections.abc import Callable, Collection, Mapping

import attrs

from .requestends import RequestEnds
from .suspicions import EngineEnd, Suspicion

__all__ = ['MIN_TRIALS', 'Key', 'PartEvidence']

#: Ends in a row that quarantine a part if only few engines end by themselves.
MIN_TRIALS = 3

#: A service and a part.
Key = tuple[str, str]


@attrs.frozen
class PartEvidence:
    """The evidence against parts, beside that against whole requests."""

    _suspicions: Mapping[Key, Suspicion]
    _requests: RequestEnds

    def is_proven(
        self,
        service: str,
        part: str,
        workspace: str,
        present: Mapping[str, Suspicion],
        identify: Callable[[], str],
    ) -> bool:
        """Return whether a part crashes engines, and nothing else explains it.

        Parameters
        ----------
        workspace
            Workspace of the call.
        present
            The evidence against the suspect parts of its prompt.
        identify
            Returns the fingerprint of the call.
        """
        suspicion = present[part]
        if not suspicion.quarantined_after:
            return False
        return self._is_proven_beside_parts(
            service, suspicion, workspace, present
        ) and self._is_proven_beside_requests(service, suspicion, identify)

    def _is_proven_beside_parts(
        self,
        service: str,
        suspicion: Suspicion,
        workspace: str,
        present: Collection[str],
    ) -> bool:
        """Return whether no other part explains the ends, nor a workspace.

        It may have met another part each time, and be proven only for prompts
        with both until an engine ends without the other.  What one workspace
        sent alone proves nothing for others.
        """
        counted = suspicion.list_counted()
        workspaces = frozenset.union(
            *(end.workspaces for end in counted.values())
        )
        if workspaces == {workspace} or len(workspaces) > 1:
            explained = self._find_explained(service, present, set(counted))
            return explained != counted.keys()
        return False

    def _is_proven_beside_requests(
        self, service: str, suspicion: Suspicion, identify: Callable[[], str]
    ) -> bool:
        """Return whether no other requests explain the ends.

        Calls with the part may have met barred requests without it.  One
        request that ended all other engines proves nothing against those that
        share the part.
        """
        unexplained = [
            end.fingerprints
            for engine, end in suspicion.list_counted().items()
            if not self._is_explained(service, engine, end)
        ]
        if len(unexplained) < MIN_TRIALS:
            return False
        common = frozenset.intersection(*unexplained)
        return not common or identify() in common

    def _is_explained(self, service: str, engine: str, end: EngineEnd) -> bool:
        """Return whether a barred request without the part explains an end.

        Ends that were told later lack the requests that had the part.
        """
        if not end.fingerprints:
            return False
        barred = self._requests.list_barred_by(service, engine)
        return not end.fingerprints.issuperset(barred)

    def _find_explained(
        self, service: str, present: Collection[str], engines: set[str]
    ) -> set[str]:
        """Find the engines that a part which is not present may have crashed.

        It is one in quarantine, or one that was at all of them.
        """
        explained: set[str] = set()
        for (of_service, part), other in self._suspicions.items():
            if of_service != service or part in present:
                continue
            common = engines.intersection(other.ends)
            if other.quarantined_after or common == engines:
                explained |= common
        return explained
