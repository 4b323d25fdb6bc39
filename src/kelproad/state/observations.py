"""Observations of engines that are not in the engines' entries.

An engine that drains refuses to prefill parts of other engines' prompts before
its entry states the drain, and while the store is unavailable no entry changes
at all.  Each instance reports its observations to its peers, so that not each
of them runs into the same refusal or delay.
"""

from collections.abc import Iterable, Mapping

import attrs

from .silentgroups import SilentGroups

__all__ = ['EngineObservations']

#: Seconds for which an engine that refused to help gets no request for help.
_REFUSED_SECONDS = 5.0
#: Seconds for which an engine that reported a slowdown counts as slow; it is
#: queried again every second.
_SLOW_SECONDS = 2.0
#: Seconds for which an engine that did not answer counts as silent; it is
#: queried again meanwhile.
_SILENT_SECONDS = 2.0
#: Seconds for which a peer's report is valid; the peer repeats it while the
#: observation holds.
_REPORT_SECONDS = 1.2


@attrs.frozen
class _Slowdown:
    """Slowdown of an engine, as a factor on its published times.

    ``reporter`` is the peer that reported it, empty for a local observation.
    """

    factor: float
    until: float
    reporter: str = ''


@attrs.define
class EngineObservations:
    """Observations of this instance, and those that peers report.

    Attributes
    ----------
    silent_groups
        Engines that are silent together.
    """

    silent_groups: SilentGroups = attrs.field(factory=SilentGroups)
    _refused_until: dict[str, float] = attrs.field(factory=dict)
    _peer_refused_until: dict[str, float] = attrs.field(factory=dict)
    _silent_until: dict[str, float] = attrs.field(factory=dict)
    _slow: dict[str, _Slowdown] = attrs.field(factory=dict)
    _peer_slow: dict[str, _Slowdown] = attrs.field(factory=dict)

    def record_refusal(self, endpoint: str, now: float) -> None:
        """Record that an engine refused to prefill a part for another one."""
        self._refused_until[endpoint] = now + _REFUSED_SECONDS

    def refuses_help(self, endpoint: str, now: float) -> bool:
        """Return whether an engine would probably refuse to help."""
        local = self._refused_until.get(endpoint, now)
        reported = self._peer_refused_until.get(endpoint, now)
        return max(local, reported) > now

    def list_refusing(self, now: float) -> list[str]:
        """List the engines that refused this instance, to report to peers."""
        self._remove_expired(now)
        return list(self._refused_until)

    def accept_refusing(self, endpoints: Iterable[str], now: float) -> None:
        """Record which engines refused a peer."""
        for endpoint in endpoints:
            self._peer_refused_until[endpoint] = now + _REPORT_SECONDS

    def record_silence(self, endpoint: str, now: float) -> None:
        """Record that an engine does not answer this instance."""
        self._silent_until[endpoint] = now + _SILENT_SECONDS

    def record_answer(self, endpoint: str) -> None:
        """Record that an engine answered this instance."""
        self._silent_until.pop(endpoint, None)

    def is_silent(self, endpoint: str, now: float) -> bool:
        """Return whether an engine recently did not answer this instance."""
        return self._silent_until.get(endpoint, now) > now

    def record_slowdown(self, endpoint: str, factor: float, now: float) -> None:
        """Record the factor on an engine's published times; 1 clears it."""
        if factor > 1:
            self._slow[endpoint] = _Slowdown(factor, now + _SLOW_SECONDS)
        else:
            self._slow.pop(endpoint, None)

    def find_slowdown(self, endpoint: str, now: float) -> float:
        """Return the largest valid factor on an engine's published times."""
        known = (self._slow.get(endpoint), self._peer_slow.get(endpoint))
        return max(
            (item.factor for item in known if item and item.until > now),
            default=1,
        )

    def list_slow(self, now: float) -> dict[str, float]:
        """List the engines that this instance observed to be slow."""
        self._remove_expired(now)
        return {name: item.factor for name, item in self._slow.items()}

    def accept_slow(
        self,
        factors: Mapping[str, float],
        reporter: str,
        now: float,
    ) -> None:
        """Record which engines a peer reports to be slow."""
        until = now + _REPORT_SECONDS
        for name, factor in factors.items():
            known = self._peer_slow.get(name)
            if known and known.until > now and known.reporter < reporter:
                continue
            self._peer_slow[name] = _Slowdown(factor, until, reporter)

    def find_watcher(self, endpoint: str, now: float) -> str:
        """Return the peer that monitors a slow engine, the first by name.

        The name is empty when no peer does.
        """
        reported = self._peer_slow.get(endpoint)
        return reported.reporter if reported and reported.until > now else ''

    def _remove_expired(self, now: float) -> None:
        """Remove expired observations; new engines come under new names."""
        self._refused_until = _select_future(self._refused_until, now)
        self._peer_refused_until = _select_future(self._peer_refused_until, now)
        self._silent_until = _select_future(self._silent_until, now)
        self._slow = _select_valid(self._slow, now)
        self._peer_slow = _select_valid(self._peer_slow, now)


def _select_valid(
    known: dict[str, _Slowdown],
    now: float,
) -> dict[str, _Slowdown]:
    return {name: item for name, item in known.items() if item.until > now}


def _select_future(times: dict[str, float], now: float) -> dict[str, float]:
    """Return the entries whose time is still to come."""
    return {name: until for name, until in times.items() if until > now}
