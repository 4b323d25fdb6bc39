"""Engines of one service in one zone that fall silent together.

What befalls a zone befalls all its engines.  When some of them have left the
queries of several instances unanswered, and none has answered anybody since,
the others are silent too, though nobody has asked them yet.
"""

import math

import attrs

from .endpoints import Endpoint

__all__ = ['SilentGroups', 'find_group']

#: Seconds for which an unanswered query is evidence.
_EVIDENCE_SECONDS = 1.0
#: Instances that must have asked; one alone may be cut off itself.
_MIN_INSTANCES = 2
#: Engines that must be silent: some, and a share of those of the zone.
_MIN_ENGINES = 3
_MIN_SHARE = 0.15


@attrs.frozen
class _Unanswered:
    """A query that an engine left unanswered."""

    endpoint: str
    instance: str


@attrs.define
class _Group:
    """What is known of the engines of one service in one zone.

    Attributes
    ----------
    asked_at
        Monotonic times of the latest queries that were not answered.
    size
        Number of its engines.
    answered_by, answered_at
        Engine that answered last, and monotonic time of that.
    silent_until
        Monotonic time until which all its engines count as silent.
    """

    asked_at: dict[_Unanswered, float] = attrs.field(factory=dict)
    size: int = 0
    answered_by: str = ''
    answered_at: float = -math.inf
    silent_until: float = -math.inf

    def has_enough_evidence(self) -> bool:
        """Return whether the unanswered queries tell of all its engines."""
        engines = {query.endpoint for query in self.asked_at}
        instances = {query.instance for query in self.asked_at}
        enough = max(_MIN_ENGINES, self.size * _MIN_SHARE)
        return len(engines) >= enough and len(instances) >= _MIN_INSTANCES

    def forget_before(self, at: float) -> None:
        """Forget the queries that are older."""
        self.asked_at = {
            query: asked_at
            for query, asked_at in self.asked_at.items()
            if asked_at > at
        }


@attrs.define
class SilentGroups:
    """Evidence of the instances of a zone, and what follows from it.

    Only instances of the same zone share it: others may reach what these are
    cut off from.
    """

    _groups: dict[tuple[str, str], _Group] = attrs.field(factory=dict)

    def record_unanswered(
        self,
        endpoint: Endpoint,
        size: int,
        instance: str,
        asked_at: float,
        now: float,
    ) -> bool:
        """Record a query that an engine left unanswered.

        Parameters
        ----------
        endpoint
            The engine.
        size
            Number of engines of its group.
        instance
            Name or IP number of the instance that asked.
        asked_at
            Monotonic time at which it did.
        now
            Monotonic time, in seconds.

        Returns
        -------
        bool
            Whether the whole group counts as silent from now on.
        """
        group = self._keep(endpoint)
        group.size = size
        group.asked_at[_Unanswered(endpoint.name, instance)] = asked_at
        group.forget_before(max(group.answered_at, now - _EVIDENCE_SECONDS))
        if not group.has_enough_evidence():
            return False
        was_silent = group.silent_until > now
        group.silent_until = now + _EVIDENCE_SECONDS
        return not was_silent

    def record_answer(
        self, endpoint: Endpoint, answered_at: float, now: float
    ) -> bool:
        """Record that an engine sent something, here or to a peer.

        Returns
        -------
        bool
            Whether its group counts as silent no more.
        """
        group = self._keep(endpoint)
        if answered_at <= group.answered_at:
            return False
        group.answered_by = endpoint.name
        group.answered_at = answered_at
        if not group.asked_at:
            return False
        group.forget_before(answered_at)
        if group.silent_until <= now or group.has_enough_evidence():
            return False
        group.silent_until = -math.inf
        return True

    def find_answer(
        self, endpoint: Endpoint, since: float
    ) -> tuple[str, float] | None:
        """Find what shows that an engine's group is not silent.

        Returns
        -------
        tuple of str and float, or None
            The engine of the group that answered last, and when; ``None`` if
            none has since a time.
        """
        group = self._groups.get(find_group(endpoint))
        if group is None or group.answered_at <= since:
            return None
        return group.answered_by, group.answered_at

    def includes(self, endpoint: Endpoint, now: float) -> bool:
        """Return whether an engine is silent as its whole group is."""
        group = self._groups.get(find_group(endpoint))
        return group is not None and group.silent_until > now

    def is_told(self, endpoint: Endpoint, now: float) -> bool:
        """Return whether enough instances have found an engine silent."""
        group = self._groups.get(find_group(endpoint), _Group())
        told = [
            query
            for query, asked_at in group.asked_at.items()
            if query.endpoint == endpoint.name
            and asked_at > now - _EVIDENCE_SECONDS / 2
        ]
        return len(told) >= _MIN_INSTANCES

    def list_silent(self, now: float) -> list[tuple[str, str]]:
        """List the groups that count as silent, as service and zone."""
        return [
            key
            for key, group in self._groups.items()
            if group.silent_until > now
        ]

    def _keep(self, endpoint: Endpoint) -> _Group:
        """Return what is known of an engine's group, to be added to."""
        key = find_group(endpoint)
        if key not in self._groups:
            self._groups[key] = _Group()
        return self._groups[key]


def find_group(endpoint: Endpoint) -> tuple[str, str]:
    """Return the service and the zone of an engine."""
    return endpoint.group.name, endpoint.declaration.zone
