"""How long discovery is waited for and how long it is left alone: sums over the settings, without I/O.

The rules of the platform say when a change of the list counts as told to this process, whether it arrived or
not. Every wait here is derived from those moments and from the grace during which a draining worker may still
be used, so that a change that was missed is fetched before that grace is over:

- after a failed, refused or given-up call, `TOLD_AFTER_S` after discovery had it and could be reached;
- for a call that may wait, `TOLD_AFTER_WAIT_S` after that wait is over, if the call is answered at all.
"""

from typing import NamedTuple

from wickgw import interface as i

WATCH_WAIT_S = 10.0  # longest time that a watch may stay open because nothing changes
TOLD_AFTER_S = 6.0
TOLD_AFTER_WAIT_S = 2.0
CONNECT_TIMEOUT_S = 1.5  # until silence means that discovery, or the way to it, is down
# An overloaded service answers calls in turn, and a call that is given up costs it its work all the same: its
# place in the queue is worth more than a new call.
QUEUE_TIMEOUT_S = 2.5
WHOLE_LIST_TIMEOUT_S = CONNECT_TIMEOUT_S + QUEUE_TIMEOUT_S
# Pauses after failures, for up to SMALL_FLEET dispatchers; larger fleets pause in proportion to their size.
FIRST_BACKOFF_S, MAX_BACKOFF_S = 0.05, 2.0
SMALL_FLEET, MAX_FLEET_BACKOFF_S = 3, 8.0
ASK_WITHIN_SHARE = 0.8  # of `Settings.ask_within`: a pause, and the call after it, fit into it
# A watch that fell silent is reopened within this time, but only so often in a row: what is silent each time
# is down.
IMMEDIATE_RETRY_S, IMMEDIATE_RETRIES = 0.3, 2
FETCH_S = 1.0  # allowance for the call that brings what was missed
# Where lists are pushed, an agent on this machine answers at once: its answers are waited for during this
# fraction of the drains' grace, within bounds.
GRACE_PER_ANSWER, MIN_ANSWER_S, MAX_ANSWER_S = 4, 0.25, 1.0
FIRST_ANSWER_S, AIM_PER_FIRST_ANSWER = 0.1, 4  # a start waits so long, or this fraction of the least aim
PROBE_WAIT_S = 0.001  # wait of the first watch on a connection to the agent: shows that it answers


class PauseRange(NamedTuple):
    """Bounds, in seconds, between which a pause is drawn at random."""

    shortest: float
    longest: float


class WatchCall(NamedTuple):
    """One call of a watch."""

    wait: float  # seconds that discovery may leave it unanswered because nothing changes
    silence: float  # seconds after that until it is given up


class WatchTiming:
    """Timeouts and pauses of the connection to discovery, in seconds, for one deployment."""

    def __init__(self, settings: i.Settings) -> None:
        self.pushed = not settings.ask_for_list
        self.dispatchers = settings.dispatchers
        grace = settings.drain_grace
        self.connect = CONNECT_TIMEOUT_S
        self.first_answer = float("inf")
        if self.pushed:
            self._set_pushed(grace, min(c.aim for c in settings.classes))
        else:
            self._set_asked(grace, settings.ask_within)

    def _set_pushed(self, grace: float, least_aim: float) -> None:
        # Two watches may fall silent in a row before what the first one missed counts as told.
        self.answer = max(MIN_ANSWER_S, min(MAX_ANSWER_S, grace / GRACE_PER_ANSWER))
        self.connect = self.whole_list = self.answer
        self.watch = WatchCall(min(WATCH_WAIT_S, TOLD_AFTER_S / 2), self.answer)
        # The agent answers the first call on a connection at once, so that silence means something.
        self.first_watch = self.watch_after_failure = WatchCall(PROBE_WAIT_S, self.answer)
        self.first_answer = min(FIRST_ANSWER_S, least_aim / AIM_PER_FIRST_ANSWER)
        self.longest_pause = self.answer / 2

    def _set_asked(self, grace: float, ask_within: float) -> None:
        self.whole_list = WHOLE_LIST_TIMEOUT_S
        retry = IMMEDIATE_RETRY_S + FETCH_S
        silence = max(MIN_ANSWER_S, min(QUEUE_TIMEOUT_S, TOLD_AFTER_WAIT_S + grace - retry))
        # A change may come right after a watch opened that is given up in the end: its wait, its silence and
        # the call that brings the change fit into the time until the change must be acted on.
        deadline = TOLD_AFTER_S + grace
        self.first_watch = self.watch = WatchCall(min(WATCH_WAIT_S, deadline - silence - retry), silence)
        # After a failure all dispatchers call at once. A call that is given up in the queue has cost
        # discovery its work, and the next one costs it again: a shorter wait leaves it time to be answered.
        self.watch_after_failure = WatchCall(deadline - self.whole_list - retry, self.whole_list)
        # A change may come right after a failed call: the pause and a call in the queue fit as well.
        self.longest_pause = min(deadline - self.whole_list, ASK_WITHIN_SHARE * ask_within)

    def pause(self, failures: int, immediate: bool) -> PauseRange:
        """The pause after so many failures in a row; `immediate` after a watch that fell silent."""
        if self.pushed:  # the agent serves nobody but us: only a loop without any pause would cost something
            longest = min(self.longest_pause, FIRST_BACKOFF_S * 2.0 ** min(failures - 1, 10))
        elif immediate:
            return PauseRange(0.0, IMMEDIATE_RETRY_S)
        else:
            longest = min(self.longest_pause, backoff(failures, self.dispatchers))
        return PauseRange(longest / 2, longest)


def backoff(failures: int, dispatchers: int) -> float:
    """The longest pause, in seconds, that a fleet of this size wants after so many failures in a row.

    All dispatchers call the same service, and after a release or a loss all at once: the rate of calls of
    each falls with their number.
    """
    callers = max(1.0, dispatchers / SMALL_FLEET)
    longest = min(MAX_BACKOFF_S * callers, MAX_FLEET_BACKOFF_S)
    return min(longest, FIRST_BACKOFF_S * callers * 2.0 ** min(failures, 10))
