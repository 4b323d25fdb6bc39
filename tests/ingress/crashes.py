"""Loads of sound requests and of such as crash engines, and what they show."""

from kelproad.state.calls import Call
from kelproad.state.endpoints import Endpoint
from kelproad.state.suspicions import EndedCall
from testbed.crashes import CrashingSite, SentStream, Stream

#: Sound and poisoned requests per second.
SOUND_RATE = 30
POISONED_RATE = 5
#: Seconds of a load; poisoned requests come from the first second on.
LOAD_SECONDS = 9.0
#: Crashes after which no poisoned request may reach engines, and seconds after
#: the last of them from which on none may.
MAX_CRASHES = 5
KNOWN_WITHIN = 1.0
#: Seconds from the begin from which sound requests are served as before, and
#: the share of them that may fail.
RESTORED_AFTER = 6.0
TOLERANCE = 0.05
#: Path of streams of 0.08 s that are resumed when their engine ends.
PATH = '/reports/x?events=8'


def make_sound_parts(number: int) -> tuple[str, ...]:
    """Return parts that many requests share."""
    return f'system-{number % 3}', choose_topic(number)


def choose_topic(number: int) -> str:
    """Choose one of some topics, so that each kind of requests has each."""
    return f'topic-{number // 7 % 7}'


SOUND = Stream(PATH, make_sound_parts, SOUND_RATE)


def measure_served(sent: list[SentStream], kind: Stream, since: float) -> float:
    """Measure the share of the streams of a kind that was served."""
    calls = [call for call in sent if call.kind is kind and call.at >= since]
    return sum(call.served for call in calls) / len(calls)


def check_answers(site: CrashingSite, poisoned: list[SentStream]) -> None:
    """Check that what is said not to have run reached no engine."""
    arrived = {request for _, request in site.read_crashes(0).arrivals}
    refused = [call for call in poisoned if call.status == 503]
    assert refused
    for call in refused:
        assert call.request_id not in arrived
        assert call.retry_after


def build_ended(
    call: Call,
    endpoint: Endpoint,
    sent_at: float,
    ended_at: float,
    parts: tuple[str, ...],
) -> EndedCall:
    """Build the end of an engine under a call."""
    return EndedCall(
        call.service,
        endpoint.name,
        frozenset(parts),
        frozenset(),
        sent_at,
        ended_at,
    )
