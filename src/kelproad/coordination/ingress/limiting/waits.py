"""How long calls wait for limited endpoints, and when refused ones return."""

import random

from ....state.calls import Call

__all__ = ['choose_longest_wait', 'choose_return']

#: Largest share of the time left that a call waits for a start: the rest is
#: for its answer.
_MAX_WAIT_SHARE = 0.5
#: Share of the time left that a call waits once it will be late in any case:
#: with a longer queue, every answer would be late.
_LATE_WAIT_SHARE = 0.1
#: Share of the caller's silence timeout that a call sent before waits.
_RESENT_WAIT_SHARE = 0.5
#: Share of the time left for which callers wait before they return.
_RETURN_SHARE = 1 / 3
#: Least seconds until a return, and least seconds over which returns spread.
_MIN_RETURN_SECONDS = 0.25
_MIN_SPREAD_SECONDS = 0.5


def choose_longest_wait(call: Call, now: float) -> float:
    """Choose the most seconds that a call waits for a start.

    It is what its objective leaves, as long as there is time for the answer.  A
    call that was sent before waits longer: refused, its stream would break off,
    or work that has run be lost.
    """
    left = max(0, call.remaining(now))
    objective_left = call.arrived + call.route.objective - now
    longest = max(objective_left, left * _LATE_WAIT_SHARE)
    if call.attempts:
        resent_wait = call.route.silence_timeout * _RESENT_WAIT_SHARE
        longest = max(longest, resent_wait)
    return min(left * _MAX_WAIT_SHARE, longest)


def choose_return(
    call: Call,
    next_wait: float,
    now: float,
    generator: random.Random,
) -> float:
    """Choose the seconds after which a refused caller is to come back.

    They lie between the time from which the call could wait for the next start
    and the time that callers wait at most, at random, so that those refused
    together don't return together.
    """
    earliest = max(
        _MIN_RETURN_SECONDS, next_wait - choose_longest_wait(call, now)
    )
    latest = max(
        call.remaining(now) * _RETURN_SHARE, earliest + _MIN_SPREAD_SECONDS
    )
    return generator.uniform(earliest, latest)
