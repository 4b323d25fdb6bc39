"""Metrics of this process, in one registry.

Frequent events are counted here; only changes of state are logged.
"""

from aioprometheus import Counter, Gauge, Histogram, Registry

__all__ = [
    'ConfirmationMetrics',
    'Counters',
    'EvacuationMetrics',
    'Latencies',
    'LimitMetrics',
    'QuarantineMetrics',
    'StreamMetrics',
    'TaskMetrics',
    'WithdrawalMetrics',
]

#: Upper bounds of the histograms in seconds: the objectives of the sites are
#: between 0.2 and 3, deadlines 10 and 15.
_BUCKETS = (0.05, 0.1, 0.2, 0.3, 0.5, 1, 1.5, 2.5, 5, 10, 15)
_DELAY_BUCKETS = (0.005, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5)


class Latencies:
    """Histograms of the time that callers wait, by service."""

    def __init__(self, registry: Registry) -> None:
        """Register the histograms."""
        self.first_events = Histogram(
            'kelproad_first_event_seconds',
            'Seconds from a call to the first event of its stream.',
            registry=registry,
            buckets=_BUCKETS,
        )
        self.answers = Histogram(
            'kelproad_answer_seconds',
            'Seconds from a call to the end of its answer.',
            registry=registry,
            buckets=_BUCKETS,
        )
        self.loop_delays = Histogram(
            'kelproad_event_loop_delay_seconds',
            'Seconds by which the event loop ran a timer late.',
            registry=registry,
            buckets=_DELAY_BUCKETS,
        )


class ConfirmationMetrics:
    """Metrics of the confirmation of the configuration in force."""

    def __init__(self, registry: Registry) -> None:
        """Register the metrics."""
        self.age = Gauge(
            'kelproad_configuration_age_seconds',
            'Seconds since the configuration was confirmed; +Inf if never.',
            registry=registry,
        )
        self.refusals = Counter(
            'kelproad_unconfirmed_refusals_total',
            'Requests refused as the configuration is unconfirmed, by cause.',
            registry=registry,
        )


class EvacuationMetrics:
    """Metrics of zones that operators have evacuated."""

    def __init__(self, registry: Registry) -> None:
        """Register the metrics."""
        self.evacuated = Gauge(
            'kelproad_zone_evacuated',
            'Whether operators have ordered that a zone get no calls.',
            registry=registry,
        )


class SilenceMetrics:
    """Metrics of engines that fall silent together."""

    def __init__(self, registry: Registry) -> None:
        """Register the metrics."""
        self.silences = Counter(
            'kelproad_silent_groups_total',
            'Times that all engines of a service in a zone counted as silent.',
            registry=registry,
        )


class LimitMetrics:
    """Metrics of the request limits that endpoints set."""

    def __init__(self, registry: Registry) -> None:
        """Register the metrics."""
        self.limits = Gauge(
            'kelproad_endpoint_request_limit',
            'Requests a second that an endpoint accepts; -1 for no limit.',
            registry=registry,
        )
        self.starts = Counter(
            'kelproad_limited_starts_total',
            'Starts requested at endpoints with a limit, by outcome.',
            registry=registry,
        )


class QuarantineMetrics:
    """Metrics of requests that crash engines."""

    def __init__(self, registry: Registry) -> None:
        """Register the metrics."""
        self.engine_ends = Counter(
            'kelproad_engine_ends_total',
            'Engines checked after attempts broke off, by what was found.',
            registry=registry,
        )
        self.refused = Counter(
            'kelproad_quarantined_requests_total',
            'Requests refused for a part on which engines crash.',
            registry=registry,
        )


class StreamMetrics:
    """Metrics of streams to callers."""

    def __init__(self, registry: Registry) -> None:
        """Register the metrics."""
        self.ended_early = Counter(
            'kelproad_streams_ended_early_total',
            'Streams that had begun and ended without their end, by reason.',
            registry=registry,
        )


class TaskMetrics:
    """Metrics of the tasks of a process."""

    def __init__(self, registry: Registry) -> None:
        """Register the metrics."""
        self.failures = Counter(
            'kelproad_task_failures_total',
            'Errors that ended a task, or the handling of a datagram.',
            registry=registry,
        )

    def count_failure(self, task: str) -> None:
        """Count an error that ended a task."""
        self.failures.inc({'task': task})


class WithdrawalMetrics:
    """Metrics of endpoints that want no more calls."""

    def __init__(self, registry: Registry) -> None:
        """Register the metrics."""
        self.withdrawals = Counter(
            'kelproad_endpoint_withdrawals_total',
            'Endpoints that stated that they leave or pause, by kind.',
            registry=registry,
        )


class Counters:
    """Every counter and gauge that the process publishes."""

    def __init__(self) -> None:
        """Register all metrics."""
        self.registry = Registry()
        self.requests = self._counter(
            'kelproad_requests_total',
            'Requests that got a final answer, by service and outcome.',
        )
        self.refusals = self._counter(
            'kelproad_refusals_total',
            'Requests refused, by step, code and whether they ran.',
        )
        self.attempts = self._counter(
            'kelproad_attempts_total',
            'Dispatches to endpoints, by endpoint group and outcome.',
        )
        self.events_dropped = self._counter(
            'kelproad_events_dropped_total',
            'Stream events not passed on, by reason.',
        )
        self.streams_resumed = self._counter(
            'kelproad_streams_resumed_total',
            'Broken streams taken up again, by way.',
        )
        self.streams_broken = self._counter(
            'kelproad_streams_broken_total',
            'Connections of engines that did not bring the end, by ending.',
        )
        self.claims = self._counter(
            'kelproad_claims_total',
            'Idempotency claims, by outcome.',
        )
        self.store_calls = self._counter(
            'kelproad_store_calls_total',
            'Calls to the platform, by operation and outcome.',
        )
        self.peer_messages = self._counter(
            'kelproad_peer_messages_total',
            'Messages between instances, by direction and outcome.',
        )
        self.peer_bytes = self._counter(
            'kelproad_peer_bytes_total',
            'Bytes of messages between instances, by direction.',
        )
        self.adoptions = self._counter(
            'kelproad_configuration_adoptions_total',
            'Configuration revisions offered, by source and outcome.',
        )
        self.cancels = self._counter(
            'kelproad_cancels_total',
            'Releases of engine memory, by reason and outcome.',
        )
        self.orphans = self._counter(
            'kelproad_orphans_total',
            'Holdings of engines without an owner, by evidence and outcome.',
        )
        self.operator_calls = self._counter(
            'kelproad_operator_calls_total',
            'Calls of the operator API, by outcome.',
        )
        self.orders = self._counter(
            'kelproad_orders_total',
            'Orders to engines, by kind and outcome.',
        )
        self.lease_writes = self._counter(
            'kelproad_lease_writes_total',
            'Writes of the lease of the orders of a zone.',
        )
        self.retries = self._counter(
            'kelproad_retries_total',
            'Attempts that failed or are silent, by what was decided.',
        )
        self.ejections = self._counter(
            'kelproad_ejections_total',
            'Failing endpoints taken out, or left in as too many were out.',
        )
        self.limited = self._counter(
            'kelproad_limited_total',
            'Requests refused for a limit of their workspace, by limit.',
        )
        self.malformed = self._counter(
            'kelproad_malformed_input_total',
            'Input on a listening address that is not HTTP, by side.',
        )
        self.tunnels = self._counter(
            'kelproad_tunnels_total',
            'Tunnels to endpoints, by side (used, opened for peers), outcome.',
        )
        self.claims_unsettled = self._gauge(
            'kelproad_claims_unsettled',
            'Claims whose outcome the platform does not have yet.',
        )
        self.latencies = Latencies(self.registry)
        self.in_progress = self._gauge(
            'kelproad_requests_in_progress',
            'Requests admitted that have no final answer yet.',
        )

    def _counter(self, name: str, doc: str) -> Counter:
        return Counter(name, doc, registry=self.registry)

    def _gauge(self, name: str, doc: str) -> Gauge:
        return Gauge(name, doc, registry=self.registry)
