"""Engines that ended under each request, however often its caller sends it.

A request may crash each engine that runs it, by what it alone asks for.  One
call reaches few engines, but its caller may repeat it under new ids and at
other instances, and routes may lead it to other services.  So the ends of
engines are counted by what calls ask for.

All calls on an engine end together, and only one of them may be the cause.
That is told apart by number: no request is held back for its first end.
"""

import enum
import operator
from collections.abc import Iterator

import attrs

from .suspicions import EndedCall, are_in_a_row, may_count

__all__ = ['RequestEnds', 'RequestState', 'RequestVerdict']

#: Ends under one request after which no engine gets it.
_MAX_ENDS = 3
#: Ends from which on only one call with the request is tried at a time.
_TRIED_ALONE_ENDS = 2
#: Seconds for which an end counts that is checked: longer than it takes to
#: find that an engine is silent.
_CHECK_SECONDS = 4.0
#: Seconds after the last end until a request is tried again, its factor for
#: each end beyond those that barred it, and the maximum.
_RETRIAL_SECONDS = 30.0
_RETRIAL_FACTOR = 4
_MAX_RETRIAL_SECONDS = 600.0
#: Seconds after the last end after which a request that is not barred is
#: forgotten, and after which any is.
_FORGET_SECONDS = 120.0
_FORGET_BARRED_SECONDS = 3600.0
#: Seconds between two looks for outdated requests.
_FORGET_PERIOD = 5.0
#: Most requests that are remembered.
_MAX_REQUESTS = 4096


class RequestState(enum.StrEnum):
    """Whether a request may be sent to an engine."""

    FREE = 'free'
    #: One call at a time may try it.
    ALONE = 'alone'
    #: It is barred if ends that are being checked are confirmed.
    CHECKED = 'checked'
    BARRED = 'barred'


@attrs.frozen
class RequestVerdict:
    """Whether a request may be sent, and if not, why and for how long.

    Attributes
    ----------
    retrial_in
        Seconds until a barred request may be tried again.
    engines
        Engines that ended under it.
    """

    state: RequestState
    retrial_in: float = 0
    engines: tuple[str, ...] = ()


_FREE = RequestVerdict(RequestState.FREE)


@attrs.define
class _Record:
    """Ends under one request, by the life of the engine."""

    ends: dict[str, EndedCall] = attrs.field(factory=dict)

    def add(self, ended: EndedCall, now: float) -> None:
        """Add an end, or confirm one that is known.

        Reports come with delays; the one with the least states its times best,
        unless those of other ends are still to be put right.
        """
        known = self.ends.pop(ended.engine, ended)
        confirmed = known.confirmed or ended.confirmed
        for end in sorted((known, ended), key=operator.attrgetter('ended_at')):
            if self._is_in_a_row(end, now):
                self.ends[ended.engine] = attrs.evolve(end, confirmed=confirmed)
                return

    def find(self, service: str, engine: str) -> EndedCall | None:
        """Find the end of an engine of a service."""
        end = self.ends.get(engine)
        return end if end is not None and end.service == service else None

    @property
    def last_end_at(self) -> float:
        """Monotonic time of the last end."""
        return max(end.ended_at for end in self.ends.values())

    @property
    def confirmed(self) -> int:
        """Number of engines that are known to have ended."""
        return sum(end.confirmed for end in self.ends.values())

    @property
    def retrial_at(self) -> float:
        """Monotonic time from which the request may be tried again."""
        later = max(0, self.confirmed - _MAX_ENDS)
        delay = _RETRIAL_SECONDS * _RETRIAL_FACTOR**later
        return self.last_end_at + min(delay, _MAX_RETRIAL_SECONDS)

    def count(self, now: float) -> int:
        """Count the engines that have ended, or may have."""
        return sum(
            may_count(end, now, _CHECK_SECONDS) for end in self.ends.values()
        )

    def is_current(self, now: float) -> bool:
        """Return whether it still bears on what may be sent."""
        barred = self.confirmed >= _MAX_ENDS
        seconds = _FORGET_BARRED_SECONDS if barred else _FORGET_SECONDS
        return now - self.last_end_at < seconds

    def _is_in_a_row(self, ended: EndedCall, now: float) -> bool:
        """Return whether no call was under way at an end and at another one.

        When several engines end at once, so do sound calls that ask for the
        same.  An end may be told later than those that came after it.
        """
        return all(
            are_in_a_row(other, ended)
            for other in self.ends.values()
            if may_count(other, now)
        )


class RequestEnds:
    """What is known of requests under which engines ended."""

    def __init__(self) -> None:
        """Know of no end."""
        self._records: dict[str, _Record] = {}
        #: Monotonic time of the next look for outdated requests.
        self._forget_at = float('-inf')

    def add(self, ended: EndedCall, now: float) -> None:
        """Add the end of an engine under a call; it counts once."""
        record = self._records.get(ended.fingerprint)
        if record is None or not record.is_current(now):
            record = _Record()
            self._records[ended.fingerprint] = record
        record.add(ended, now)
        if len(self._records) > _MAX_REQUESTS:
            self._drop_some(now)

    def confirm(self, service: str, engine: str, now: float) -> None:
        """Confirm an end under all requests: it is one, whoever found it."""
        for known in self._records.values():
            end = known.find(service, engine)
            if end is not None:
                known.add(attrs.evolve(end, confirmed=True), now)

    def clear(self, fingerprint: str, until: float) -> None:
        """Forget the ends of a request that came before a time."""
        record = self._records.get(fingerprint)
        if record is None:
            return
        record.ends = {
            engine: end
            for engine, end in record.ends.items()
            if end.ended_at > until
        }
        if not record.ends:
            self._records.pop(fingerprint)

    def withdraw(self, service: str, engine: str) -> None:
        """Withdraw an end that is not confirmed: the engine is alive."""
        self._remove(service, engine, float('inf'), confirmed=False)

    def revive(self, service: str, engine: str, at: float) -> None:
        """Withdraw the end of an engine that answered later."""
        self._remove(service, engine, at, confirmed=True)

    def is_empty(self, now: float) -> bool:
        """Return whether no request is remembered, and none need be judged."""
        if self._records and now >= self._forget_at:
            self._forget_at = now + _FORGET_PERIOD
            self._records = self._list_current(now)
        return not self._records

    def judge(self, fingerprint: str, now: float) -> RequestVerdict:
        """Judge a request before it is sent."""
        record = self._records.get(fingerprint)
        if record is None or not record.is_current(now):
            return _FREE
        engines = tuple(record.ends)
        if record.confirmed >= _MAX_ENDS:
            if now < record.retrial_at:
                return RequestVerdict(
                    RequestState.BARRED, record.retrial_at - now, engines
                )
            return RequestVerdict(RequestState.ALONE, engines=engines)
        ends = record.count(now)
        if ends >= _MAX_ENDS:
            return RequestVerdict(RequestState.CHECKED, engines=engines)
        if ends >= _TRIED_ALONE_ENDS:
            return RequestVerdict(RequestState.ALONE, engines=engines)
        return _FREE

    def count(self, fingerprint: str, now: float) -> int:
        """Count the engines that have ended under a request, or may have."""
        record = self._records.get(fingerprint)
        return record.count(now) if record else 0

    def is_barred(self, fingerprint: str) -> bool:
        """Return whether a request is barred, or waits to be tried again."""
        record = self._records.get(fingerprint)
        return record is not None and record.confirmed >= _MAX_ENDS

    def list_barred(self, now: float) -> Iterator[tuple[str, RequestVerdict]]:
        """Iterate over the requests that no engine gets."""
        for fingerprint in self._records:
            verdict = self.judge(fingerprint, now)
            if verdict.state is RequestState.BARRED:
                yield fingerprint, verdict

    def list_barred_by(self, service: str, engine: str) -> list[str]:
        """List the barred requests under which an engine ended."""
        return [
            fingerprint
            for fingerprint, known in self._records.items()
            if known.find(service, engine) and self.is_barred(fingerprint)
        ]

    def list_ends(self, fingerprint: str) -> list[EndedCall]:
        """List the confirmed ends under a request.

        Without parts, which may have been found to be harmless since.
        """
        record = self._records.get(fingerprint, _Record())
        return [
            attrs.evolve(end, parts=frozenset())
            for end in record.ends.values()
            if end.confirmed
        ]

    def list_repeated(self) -> Iterator[EndedCall]:
        """Iterate over the confirmed ends of requests that met several."""
        for fingerprint, record in self._records.items():
            if record.confirmed >= _TRIED_ALONE_ENDS:
                yield from self.list_ends(fingerprint)

    def _remove(
        self, service: str, engine: str, before: float, confirmed: bool
    ) -> None:
        """Remove the ends of an engine before a time."""
        for fingerprint, record in list(self._records.items()):
            end = record.find(service, engine)
            if end is None or end.ended_at >= before:
                continue
            if confirmed or not end.confirmed:
                record.ends.pop(engine)
            if not record.ends:
                self._records.pop(fingerprint)

    def _drop_some(self, now: float) -> None:
        """Drop outdated requests, or the one with the least evidence."""
        current = self._list_current(now)
        if len(current) > _MAX_REQUESTS:
            current.pop(
                min(
                    current,
                    key=lambda key: (
                        current[key].count(now),
                        current[key].last_end_at,
                    ),
                )
            )
        self._records = current

    def _list_current(self, now: float) -> dict[str, _Record]:
        return {
            key: known
            for key, known in self._records.items()
            if known.is_current(now)
        }
