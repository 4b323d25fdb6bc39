"""All endpoints that this instance knows, and what they are chosen by."""

from collections.abc import Iterable, Mapping

import attrs

from .declarations import EndpointDeclaration, EndpointGroup
from .endpoints import Endpoint
from .engines import LengthClass, classify_length
from .prefixes import PrefixHistory
from .rates import LearnedRate
from .requestlimits import WarmUps
from .withdrawals import Withdrawal, Withdrawals

__all__ = ['Contention', 'EndpointTable']

#: Seconds that a prompt takes in addition, however short it is.
_MIN_PREFILL_SECONDS = 0.05
#: Sum of prompt tokens above which the length mix is halved, so that older
#: prompts have less weight.
_MAX_MIX_TOKENS = 20_000_000


@attrs.frozen
class Contention:
    """Predicted wait of the prompts of one length class.

    Attributes
    ----------
    seconds
        Predicted wait of the prompt placed last, decreasing with time.
    slowdown
        The same in multiples of the prompt's own prefill time.
    """

    seconds: float = 0
    slowdown: float = 0
    recorded_at: float = float('-inf')


class EndpointTable:
    """Endpoints by name, updated with the configuration.

    Attributes
    ----------
    prefixes
        Endpoints that recently computed each prompt prefix.
    sent_by_class
        Prompt tokens sent by length class; older ones have less weight.
    instances
        Number of live instances, this one included.
    first_token_ratios
        Ratio of observed to predicted time to first token, by length class;
        no prediction includes the prompts that arrive later with a higher
        priority.
    withdrawals
        What endpoints stated about leaving and pausing; it outlasts their
        absence from the table.
    evacuated_zones
        Zones whose endpoints must get no calls.
    warm_ups
        Engines that warm up.
    """

    def __init__(self) -> None:
        """Start with no endpoints."""
        self._endpoints: dict[str, Endpoint] = {}
        self._by_group: dict[str, list[Endpoint]] = {}
        #: Endpoints that this instance withholds as the holder of the lease
        #: of the orders.
        self.withheld_locally: frozenset[str] = frozenset()
        self._by_zone: dict[tuple[str, str], list[Endpoint]] = {}
        self._turns: dict[str, int] = {}
        self._group_rates: dict[str, LearnedRate] = {}
        self.prefixes = PrefixHistory()
        self.sent_by_class = [float(0) for _ in LengthClass]
        self.instances = 1
        self.withdrawals = Withdrawals()
        self.evacuated_zones: frozenset[str] = frozenset()
        self.warm_ups = WarmUps()
        self.first_token_ratios = [LearnedRate() for _ in LengthClass]
        self._contention: dict[LengthClass, Contention] = {}

    def replace_groups(self, groups: Iterable[EndpointGroup]) -> None:
        """Set the endpoints to exactly those of the groups.

        Counts of work in flight survive a changed declaration, because the
        work goes on.
        """
        kept: dict[str, Endpoint] = {}
        by_group: dict[str, list[Endpoint]] = {}
        by_zone: dict[tuple[str, str], list[Endpoint]] = {}
        for group in groups:
            members = [self._declare(item, group) for item in group.endpoints]
            by_group[group.name] = members
            for member in members:
                location = (group.name, member.declaration.zone)
                by_zone.setdefault(location, []).append(member)
            kept.update({member.name: member for member in members})
        # Replaced together, so that an error leaves no half of them.
        self._by_group = by_group
        self._by_zone = by_zone
        self._endpoints = kept
        self.evacuate(self.evacuated_zones)

    def in_group(self, group: str) -> list[Endpoint]:
        """List the endpoints of a group."""
        return self._by_group.get(group, [])

    def in_zone(self, group: str, zone: str) -> list[Endpoint]:
        """List the endpoints of a group that run in a zone."""
        return self._by_zone.get((group, zone), [])

    def next_turn(self, service: str) -> int:
        """Return a service's turn in its rotation, and advance it by one."""
        turn = self._turns.get(service, 0)
        self._turns[service] = turn + 1
        return turn

    def record_sent(self, tokens: int) -> None:
        """Add a prompt to the length mix, halved when it gets large."""
        self.sent_by_class[classify_length(tokens)] += tokens
        if sum(self.sent_by_class) > _MAX_MIX_TOKENS:
            self.sent_by_class = [sent / 2 for sent in self.sent_by_class]

    def record_contention(
        self,
        tokens: int,
        seconds: float,
        prefill_seconds: float,
        now: float,
    ) -> None:
        """Record the predicted wait of a prompt and its own prefill time."""
        slowdown = seconds / (prefill_seconds + _MIN_PREFILL_SECONDS)
        self._contention[classify_length(tokens)] = Contention(
            seconds,
            slowdown,
            now,
        )

    def measure_contention(self, tokens: int, now: float) -> Contention:
        """Return the wait of a length class; it falls while none is placed."""
        latest = self._contention.get(classify_length(tokens))
        if latest is None:
            return Contention()
        # While nothing is placed, queues shrink by a second per second.
        left = max(0, latest.seconds - (now - latest.recorded_at))
        share = left / latest.seconds if latest.seconds else 0
        return Contention(left, latest.slowdown * share, now)

    def get(self, name: str) -> Endpoint | None:
        """Find an endpoint by its name."""
        return self._endpoints.get(name)

    def keep_withdrawal(
        self, name: str, incarnation: str, now: float
    ) -> Withdrawal:
        """Return what an incarnation stated, to be added to."""
        withdrawal = self.withdrawals.keep(name, incarnation, now)
        if self._is_listed(name, incarnation):
            self._endpoints[name].withdrawal = withdrawal
        return withdrawal

    def forget_withdrawals(self, now: float) -> None:
        """Forget what incarnations stated that are long gone."""
        self.withdrawals.forget_unlisted(self._is_listed, now)

    def find_at(self, address: str) -> Endpoint | None:
        """Find the endpoint at an address, of several the one born last."""
        there = [
            endpoint
            for endpoint in self._endpoints.values()
            if endpoint.declaration.address == address
        ]
        return max(there, key=_get_birth, default=None)

    def serves_at(self, address: str, now: float) -> bool:
        """Return whether an endpoint at an address may get calls."""
        return any(
            endpoint.declaration.address == address
            and not (endpoint.leaving or endpoint.evacuated)
            and not endpoint.withdrawal.is_paused(now)
            for endpoint in self._endpoints.values()
        )

    def find_zone(self, name: str) -> str:
        """Find the zone of an endpoint; empty for an unknown endpoint."""
        endpoint = self._endpoints.get(name)
        return endpoint.declaration.zone if endpoint else ''

    def list_names_in(self, zone: str) -> frozenset[str]:
        """List the names of the endpoints that run in a zone."""
        return frozenset(
            name
            for name, endpoint in self._endpoints.items()
            if endpoint.declaration.zone == zone
        )

    def all(self) -> Mapping[str, Endpoint]:
        """Return every endpoint by name."""
        return self._endpoints

    def withhold(self, names: frozenset[str]) -> None:
        """Exclude exactly these endpoints from new requests."""
        for name, endpoint in self._endpoints.items():
            endpoint.withheld = name in names

    def evacuate(self, zones: frozenset[str]) -> None:
        """Exclude exactly the endpoints of these zones from new requests."""
        self.evacuated_zones = zones
        for endpoint in self._endpoints.values():
            endpoint.evacuated = endpoint.declaration.zone in zones

    def _is_listed(self, name: str, incarnation: str) -> bool:
        endpoint = self._endpoints.get(name)
        if endpoint is None:
            return False
        return endpoint.declaration.incarnation == incarnation

    def _declare(
        self,
        declaration: EndpointDeclaration,
        group: EndpointGroup,
    ) -> Endpoint:
        endpoint = self._endpoints.get(declaration.name)
        if endpoint is None or endpoint.declaration.incarnation != (
            declaration.incarnation
        ):
            # A restarted endpoint has none of the work that was counted.
            rate = self._group_rates.setdefault(group.name, LearnedRate())
            known = self.withdrawals.find(
                declaration.name, declaration.incarnation
            )
            return Endpoint(
                declaration,
                group,
                group_rate=rate,
                withdrawal=known or Withdrawal(),
            )
        if declaration.address != endpoint.declaration.address:
            # Another endpoint answered at the former address, not at this.
            endpoint.misdirected_until = float('-inf')
        endpoint.declaration = declaration
        endpoint.group = group
        return endpoint


def _get_birth(endpoint: Endpoint) -> tuple[int, str]:
    """Return a key that orders incarnations, numbers by their value."""
    incarnation = endpoint.declaration.incarnation
    return len(incarnation), incarnation
