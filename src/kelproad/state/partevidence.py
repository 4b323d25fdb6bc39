"""Whether what is known of a quarantined part proves it for a call.

Engines may have ended for another reason each time: another part of their
prompts, what one workspace sends, or requests that end engines by what they
alone ask for.
"""

from collections.abc import Callable, Collection, Mapping

import attrs

from .requestends import RequestEnds
from .suspicions import Suspicion

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

    def is_proven_for(
        self,
        service: str,
        part: str,
        workspace: str,
        present: Mapping[str, Suspicion],
    ) -> bool:
        """Return whether a part crashes engines, and not another one.

        It may have met another one each time, and be proven only for prompts
        with both until an engine ends without the other.  What one workspace
        sent alone proves nothing for others.

        Parameters
        ----------
        present
            The evidence against the suspect parts of the prompt.
        """
        suspicion = present[part]
        if not suspicion.quarantined_after:
            return False
        counted = suspicion.list_counted()
        workspaces = frozenset.union(
            *(end.workspaces for end in counted.values())
        )
        if workspaces == {workspace} or len(workspaces) > 1:
            explained = self._find_explained(service, present, set(counted))
            return explained != counted.keys()
        return False

    def is_proven_by(
        self, service: str, part: str, identify: Callable[[], str]
    ) -> bool:
        """Return whether a part crashes engines, whatever calls ask for.

        Calls with it may have met requests without it that do.  One request
        that ended all other engines proves nothing against those that share
        the part.

        Parameters
        ----------
        identify
            Returns the fingerprint of the call.
        """
        counted = self._suspicions[service, part].list_counted()
        fingerprints = [
            end.fingerprints
            for engine, end in counted.items()
            if end.fingerprints.issuperset(
                self._requests.list_barred_by(service, engine)
            )
        ]
        if len(fingerprints) < MIN_TRIALS:
            return False
        common = frozenset.intersection(*fingerprints)
        return not common or identify() in common

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
