"""The site under test: its engines, their faults, its policy and load."""

import asyncio
import math
import pathlib
import time
from urllib import request

import attrs
import yaml

from kelproad.cli.loadgen import LoadPlan, generate_arrivals, run_load
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
_ATTEMPTS_METRIC = 'kelproad_attempts_total{'
#: Prefill tokens per second of an engine.
_PREFILL_RATE = 15_000.0
#: Prompt tokens that an engine prefills in one pass.
_CHUNK_TOKENS = 4096
#: Seconds of decoding in each pass (one iteration of an engine's batch).
_DECODE_SECONDS = 0.028
_MEMORY_TOKENS = 400_000
#: Tokens of the longest prompts, more than twice the memory of an engine;
#: prompts that exceed the memory are refused.
_MAX_PROMPT_TOKENS = 900_000
_SLOWDOWN_FACTOR = 10.0
_ADOPTION_TIMEOUT = 15.0
_SETTLE_SECONDS = 2.0
_POLL_SECONDS = 0.2
_SAMPLE_SECONDS = 600.0


@attrs.frozen
class Load:
    """Load of one round.

    Attributes
    ----------
    share
        Offered load, as a share of the engines' capacity.
    seconds
        Length of the round.
    deadline
        Deadline of each request, in seconds.
    repeated
        Share of prompts that begin with a prefix shared with others.
    """

    share: float
    seconds: float
    seed: int = 1
    deadline: float = 20.0
    repeated: float = 0.3


@attrs.define
class Fleet:
    """A running site with engines ``time_scale`` times as fast as real ones."""

    site: Site
    time_scale: float

    @property
    def engines(self) -> list[str]:
        """Names of the engines under load."""
        return [name for name in self.site.addresses if _ENGINES in name]

    def declare_priorities(self, honours: bool) -> None:
        """Apply a declaration whether the engines schedule by priority."""
        path = self.site.files[1]
        content = yaml.safe_load(path.read_text())
        for group in content['endpoint_groups']:
            group['honours_priorities'] = honours
        path.write_text(yaml.safe_dump(content, sort_keys=False))
        self.site.apply(path)

    def apply_policy(self, policy: str, slowdown: float) -> None:
        """Apply a policy and the weight of slowdown, and wait for adoption."""
        path = self.site.files[0]
        content = yaml.safe_load(path.read_text())
        content['deployment']['policy'] = policy
        content['deployment']['objective'] = {
            'slowdown': slowdown,
            'first_token': 1 - slowdown,
        }
        path.write_text(yaml.safe_dump(content, sort_keys=False))
        revision = self.site.apply(path)['revision']
        limit = time.monotonic() + _ADOPTION_TIMEOUT
        while time.monotonic() < limit:
            if all(held >= revision for held in self._read_revisions()):
                return
            time.sleep(_POLL_SECONDS)
        raise TimeoutError(f'{policy} was not adopted by all instances')

    def send(self, load: Load, shorter_than: float = math.inf) -> Report:
        """Send one round of load, then let the engines become idle."""
        report = asyncio.run(run_load(self.plan(load, shorter_than), None))
        time.sleep(_SETTLE_SECONDS)
        return report

    def plan(self, load: Load, shorter_than: float = math.inf) -> LoadPlan:
        """Plan a round at a share of the engines' capacity."""
        first, *others = KEYS
        sample_plan = LoadPlan(
            servers=self.site.callers,
            key=first,
            model=MODEL,
            seconds=_SAMPLE_SECONDS,
            rate=1,
            seed=load.seed,
            longest=_MAX_PROMPT_TOKENS,
            deadline=load.deadline,
            other_keys=others,
            repeated=load.repeated,
        )
        return attrs.evolve(
            sample_plan,
            seconds=load.seconds,
            rate=load.share * self._measure_capacity(sample_plan),
            shorter_than=shorter_than,
        )

    def inject_fault(self, fault: str) -> None:
        """Set a fault: ``slow`` for one engine, ``third`` refusing, or none."""
        if fault == 'slow':
            self._set_fault(self.engines[:1], slowness=_SLOWDOWN_FACTOR)
        elif fault == 'third':
            failing = math.ceil(len(self.engines) / 3)
            self._set_fault(self.engines[:failing], refuse=True)

    def count_attempts(self) -> int:
        """Count the attempts of all instances, including refused ones."""
        return sum(
            round(float(line.rsplit(' ', 1)[-1]))
            for instance in self.site.instances
            for line in _read_metrics(instance.caller)
            if line.startswith(_ATTEMPTS_METRIC)
        )

    def _set_fault(self, engines: list[str], **faults: object) -> None:
        for name in engines:
            self.site.set_faults(self.site.addresses[name], **faults)

    def _measure_capacity(self, plan: LoadPlan) -> float:
        """Estimate the requests per second that saturate all engines.

        Cached prefixes of repeated prompts count as if they were prefilled.
        """
        costs = [
            _estimate_seconds(arrival.prompt_tokens)
            for arrival in generate_arrivals(plan)
            if arrival.prompt_tokens < _MEMORY_TOKENS
        ]
        share_served = len(costs) / (_SAMPLE_SECONDS * plan.rate)
        mean = sum(costs) / len(costs) / self.time_scale
        return len(self.engines) / mean / share_served

    def _read_revisions(self) -> list[int]:
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
    """Plan a site with one instance per zone and ``engines`` in a group."""
    return SitePlan(
        example=REPOSITORY / 'examples' / 'roadgrip',
        endpoints_per_group=engines,
        engine_settings={
            'time_scale': time_scale,
            'honours_priorities': honours_priorities,
            'interrupts_prefill': interrupts,
        },
    )


def _estimate_seconds(prompt_tokens: int) -> float:
    """Return an engine's seconds for a prompt, with concurrent decoding."""
    steps = math.ceil(prompt_tokens / _CHUNK_TOKENS)
    return prompt_tokens / _PREFILL_RATE + steps * _DECODE_SECONDS
