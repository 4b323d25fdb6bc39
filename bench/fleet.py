"""The site under the bench: its engines, their faults, its policy, its load."""

import asyncio
import math
import pathlib
import time
from urllib import request

import attrs
import yaml

from kelproad.cli.loadgen import Plan, draw_arrivals, run_load
from kelproad.cli.loadreport import Report
from testbed.site import Site, SitePlan

__all__ = ['Fleet', 'Load', 'plan_site']

REPOSITORY = pathlib.Path(__file__).resolve().parent.parent
MODEL = 'roadgrip-report'
KEYS = (
    'example-key-crews-colombo',
    'example-key-authority-engineers',
    'example-key-board',
    'example-key-crews-kandy',
    'example-key-crews-galle',
    'example-key-crews-jaffna',
    'example-key-crews-matara',
)
_ENGINES = 'report-lk'
_ATTEMPTS = 'kelproad_attempts_total{'
_RATE = 15_000.0
_CHUNK = 4096
_DECODE_SECONDS = 0.028
_MEMORY_TOKENS = 400_000
#: Over twice one engine's memory: such prompts are refused.
_LONGEST = 900_000
_SLOWNESS = 10.0
_ADOPTION_SECONDS = 15.0
_SETTLE_SECONDS = 2.0
_POLL_SECONDS = 0.2
_PROBE_SECONDS = 600.0


@attrs.frozen
class Load:
    """How much is sent.

    Attributes
    ----------
    share
        Load, as a share of what the engines can do.
    seconds
        Length of one round.
    """

    share: float
    seconds: float
    seed: int = 1
    deadline: float = 20.0
    repeated: float = 0.3


@attrs.define
class Fleet:
    """A running site with engines that run a number of times faster."""

    site: Site
    time_scale: float

    @property
    def engines(self) -> list[str]:
        """Names of the engines under load."""
        return [name for name in self.site.addresses if _ENGINES in name]

    def declare_priorities(self, honours: bool) -> None:
        """Declare whether the engines schedule by priority."""
        path = self.site.files[1]
        content = yaml.safe_load(path.read_text())
        for group in content['endpoint_groups']:
            group['honours_priorities'] = honours
        path.write_text(yaml.safe_dump(content, sort_keys=False))
        self.site.apply(path)

    def put_policy(self, policy: str, slowdown: float) -> None:
        """Put a policy and the weight of slowdown in force everywhere."""
        path = self.site.files[0]
        content = yaml.safe_load(path.read_text())
        content['deployment']['policy'] = policy
        content['deployment']['objective'] = {
            'slowdown': slowdown,
            'first_token': 1 - slowdown,
        }
        path.write_text(yaml.safe_dump(content, sort_keys=False))
        revision = self.site.apply(path)['revision']
        limit = time.monotonic() + _ADOPTION_SECONDS
        while time.monotonic() < limit:
            if all(held >= revision for held in self._revisions()):
                return
            time.sleep(_POLL_SECONDS)
        raise TimeoutError(f'{policy} is not in force everywhere')

    def send(self, load: Load, shorter_than: float = math.inf) -> Report:
        """Send one round of load, and let the engines come to rest."""
        report = asyncio.run(run_load(self.plan(load, shorter_than), None))
        time.sleep(_SETTLE_SECONDS)
        return report

    def plan(self, load: Load, shorter_than: float = math.inf) -> Plan:
        """Plan a round at a share of what the engines can do."""
        first, *others = KEYS
        unscaled = Plan(
            servers=self.site.callers,
            key=first,
            model=MODEL,
            seconds=_PROBE_SECONDS,
            rate=1,
            seed=load.seed,
            longest=_LONGEST,
            deadline=load.deadline,
            more_keys=others,
            repeated=load.repeated,
        )
        return attrs.evolve(
            unscaled,
            seconds=load.seconds,
            rate=load.share * self._measure_capacity(unscaled),
            shorter_than=shorter_than,
        )

    def bring_about(self, fault: str) -> None:
        """Bring a fault about: one engine slow, a third refusing, or none."""
        if fault == 'slow':
            self._set_fault(self.engines[:1], slowness=_SLOWNESS)
        elif fault == 'third':
            failing = math.ceil(len(self.engines) / 3)
            self._set_fault(self.engines[:failing], refuse=True)

    def count_attempts(self) -> int:
        """Count all dispatches that the instances made, refused ones too."""
        return sum(
            round(float(line.rsplit(' ', 1)[-1]))
            for instance in self.site.instances
            for line in _read_metrics(instance.caller)
            if line.startswith(_ATTEMPTS)
        )

    def _set_fault(self, engines: list[str], **faults: object) -> None:
        for name in engines:
            self.site.set_faults(self.site.addresses[name], **faults)

    def _measure_capacity(self, plan: Plan) -> float:
        """Work out the requests a second that keep all engines busy.

        The cached part of repeated prompts counts as if it were computed.
        """
        costs = [
            _cost(arrival.prompt_tokens)
            for arrival in draw_arrivals(plan)
            if arrival.prompt_tokens < _MEMORY_TOKENS
        ]
        share_served = len(costs) / (_PROBE_SECONDS * plan.rate)
        mean = sum(costs) / len(costs) / self.time_scale
        return len(self.engines) / mean / share_served

    def _revisions(self) -> list[int]:
        return [
            self.site.control(instance.operator, 'GET', '/operator/dump')[
                'revision'
            ]
            for instance in self.site.instances
        ]


def _read_metrics(address: str) -> list[str]:
    opener = request.build_opener(request.ProxyHandler({}))
    with opener.open(f'http://{address}/metrics') as response:
        return response.read().decode().splitlines()


def plan_site(
    time_scale: float,
    engines: int,
    honours_priorities: bool,
    interrupts: bool,
) -> SitePlan:
    """Plan the site: one instance a zone before some engines."""
    return SitePlan(
        example=REPOSITORY / 'examples' / 'roadgrip',
        endpoints_per_group=engines,
        engine_settings={
            'time_scale': time_scale,
            'honours_priorities': honours_priorities,
            'interrupts_prefill': interrupts,
        },
    )


def _cost(prompt_tokens: int) -> float:
    """Return an engine's seconds for a prompt, decoding along included."""
    steps = math.ceil(prompt_tokens / _CHUNK)
    return prompt_tokens / _RATE + steps * _DECODE_SECONDS
