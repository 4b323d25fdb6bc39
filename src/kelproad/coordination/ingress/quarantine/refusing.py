"""Refusals of calls on which engines crash, or may, and when to return."""

import logging
import random

import attrs

from ....state.calls import Call
from ....state.counters import QuarantineMetrics
from ....state.records import record
from ....state.refusals import RefusalCode
from ....state.requestends import RequestVerdict
from ....state.suspicions import Judgement
from ....transport.deadlines import monotonic
from ..placing.placement import NoPlacementError

__all__ = ['RefusalBuilder']

_logger = logging.getLogger(__name__)
#: Seconds that a call waits for a trial at least, and the share of its time
#: that it waits at most.
_MIN_WAIT = 1.0
_MAX_WAIT_SHARE = 0.3
#: Bounds of the seconds after which a call that waited in vain comes back; at
#: random, so that those refused together don't return together.
_RETURNS = (0.5, 1.5)
#: Bounds of the seconds after which one with a quarantined part does, and the
#: share that is added at random.
_MIN_RETURN = 5.0
_MAX_RETURN = 600.0
_RETURN_SPREAD = 0.5


@attrs.frozen
class RefusalBuilder:
    """Builds refusals; returns are spread, so that callers come one by one."""

    _metrics: QuarantineMetrics
    _generator: random.Random

    def build_waiting(self, call: Call) -> NoPlacementError:
        """Build the refusal of a call while another tries its parts, or it."""
        now = monotonic()
        if call.trial_wanted_at is None:
            call.trial_wanted_at = now
        longest = min(
            max(_MIN_WAIT, call.route.objective),
            call.remaining(now) * _MAX_WAIT_SHARE,
        )
        return NoPlacementError(
            'another call tries the same request, or a suspect part of it',
            worth_waiting=now - call.trial_wanted_at < longest,
            retry_after=self._generator.uniform(*_RETURNS),
        )

    def build_quarantined(
        self, call: Call, judgement: Judgement
    ) -> NoPlacementError:
        """Build the refusal of a call that would crash its engine."""
        part = judgement.parts[0]
        self._metrics.refused.inc({'service': call.service})
        record(
            _logger,
            'refused_for_part',
            request=call.request_id,
            service=call.service,
            part=part,
            engines=judgement.engines,
        )
        return self._refuse_until(
            f'engines crash on part {part} of the prompt', judgement.retrial_in
        )

    def build_barred(
        self, call: Call, verdict: RequestVerdict
    ) -> NoPlacementError:
        """Build the refusal of a call under which engines ended."""
        self._metrics.refused.inc({'service': call.service})
        record(
            _logger,
            'refused_for_request',
            request=call.request_id,
            service=call.service,
            fingerprint=call.fingerprint,
            engines=verdict.engines,
        )
        return self._refuse_until(
            'engines crashed each time this was requested', verdict.retrial_in
        )

    def _refuse_until(self, reason: str, retrial_in: float) -> NoPlacementError:
        """Build a refusal with a return after the next trial, or spread."""
        seconds = min(max(retrial_in, _MIN_RETURN), _MAX_RETURN)
        spread = self._generator.uniform(1, 1 + _RETURN_SPREAD)
        return NoPlacementError(
            reason,
            worth_waiting=False,
            retry_after=seconds * spread,
            code=RefusalCode.QUARANTINED,
        )
