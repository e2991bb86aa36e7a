"""Timeouts and pauses of the connection to discovery, computed from the settings without I/O.

The platform's rules say when a change of the list counts as delivered to this process, whether it arrived or
not. Every timeout here is derived from those moments and from the grace period in which a draining worker may
still be used, so that a missed change is fetched before the grace period ends:

- after a failed, refused or cancelled call: `CHANGE_DELIVERY_S` after discovery had the change and was
  reachable;
- for a call that waits for changes: `CHANGE_DELIVERY_AFTER_WAIT_S` after the wait, if the call is answered.
"""

from typing import NamedTuple

from wickgw import interface as i

WATCH_WAIT_S = 10.0  # longest time that a watch stays open without a change
CHANGE_DELIVERY_S = 6.0
CHANGE_DELIVERY_AFTER_WAIT_S = 2.0
CONNECT_TIMEOUT_S = 1.5  # after which discovery, or the network to it, counts as down
# An overloaded service answers calls in order, and a cancelled call still costs it the work. Keeping a place
# in the queue is better than a new call.
QUEUE_TIMEOUT_S = 2.5
WHOLE_LIST_TIMEOUT_S = CONNECT_TIMEOUT_S + QUEUE_TIMEOUT_S
# Pauses after failures, for up to SMALL_FLEET_DISPATCHERS. The pauses of a larger fleet are longer in
# proportion to its size, up to MAX_FLEET_BACKOFF_S.
MIN_BACKOFF_S, MAX_BACKOFF_S = 0.05, 2.0
SMALL_FLEET_DISPATCHERS, MAX_FLEET_BACKOFF_S = 3, 8.0
ASK_WITHIN_SHARE = 0.8  # of `Settings.ask_within`, for a pause: the call after it has to fit, too
# A watch that falls silent is reopened within this time, but only so often in a row: a service that is silent
# each time is down.
IMMEDIATE_RETRY_S, IMMEDIATE_RETRIES = 0.3, 2
FETCH_ALLOWANCE_S = 1.0  # for the call that fetches a missed change
# Where lists are pushed, an agent on this machine answers at once. The timeout of its answers is the grace
# period of drains divided by this ratio, within bounds.
GRACE_TO_ANSWER_RATIO, MIN_ANSWER_TIMEOUT_S, MAX_ANSWER_TIMEOUT_S = 4, 0.25, 1.0
# The timeout of the first answer at the start: the smaller of this and the least latency target
# divided by the ratio.
FIRST_ANSWER_TIMEOUT_S, LATENCY_TARGET_TO_FIRST_ANSWER_RATIO = 0.1, 4
PROBE_WAIT_S = 0.001  # wait of the first watch on a connection to the agent, as a check that it answers


class PauseRange(NamedTuple):
    """The bounds, in seconds, of a random pause."""

    shortest: float
    longest: float


class WatchCall(NamedTuple):
    """The times of one watch call."""

    wait: float  # seconds that discovery may hold the call open without a change
    answer_timeout: float  # seconds after the wait until the call is cancelled


class WatchTiming:
    """The timeouts and pauses, in seconds, of one deployment."""

    def __init__(self, settings: i.Settings) -> None:
        self.is_pushed = not settings.ask_for_list
        self.dispatchers = settings.dispatchers
        grace = settings.drain_grace
        self.connect_timeout = CONNECT_TIMEOUT_S
        self.first_answer_timeout = float("inf")
        if self.is_pushed:
            self._set_push_timeouts(
                grace, min(request_class.latency_target for request_class in settings.classes)
            )
        else:
            self._set_polling_timeouts(grace, settings.ask_within)

    def _set_push_timeouts(self, grace: float, least_latency_target: float) -> None:
        # Two watches in a row may fall silent before a change that the first one missed counts as delivered.
        self.answer_timeout = max(
            MIN_ANSWER_TIMEOUT_S, min(MAX_ANSWER_TIMEOUT_S, grace / GRACE_TO_ANSWER_RATIO)
        )
        self.connect_timeout = self.whole_list_timeout = self.answer_timeout
        self.watch = WatchCall(min(WATCH_WAIT_S, CHANGE_DELIVERY_S / 2), self.answer_timeout)
        # The agent answers the first call on a connection at once, so silence means a failure.
        self.first_watch = self.watch_after_failure = WatchCall(PROBE_WAIT_S, self.answer_timeout)
        self.first_answer_timeout = min(
            FIRST_ANSWER_TIMEOUT_S, least_latency_target / LATENCY_TARGET_TO_FIRST_ANSWER_RATIO
        )
        self.longest_pause = self.answer_timeout / 2

    def _set_polling_timeouts(self, grace: float, ask_within: float) -> None:
        self.whole_list_timeout = WHOLE_LIST_TIMEOUT_S
        retry = IMMEDIATE_RETRY_S + FETCH_ALLOWANCE_S
        answer_timeout = max(
            MIN_ANSWER_TIMEOUT_S, min(QUEUE_TIMEOUT_S, CHANGE_DELIVERY_AFTER_WAIT_S + grace - retry)
        )
        # A change may come right after the opening of a watch that is cancelled in the end. The wait, the
        # answer timeout and the call that fetches the change fit into the time until the change applies.
        deadline = CHANGE_DELIVERY_S + grace
        self.first_watch = self.watch = WatchCall(
            min(WATCH_WAIT_S, deadline - answer_timeout - retry), answer_timeout
        )
        # After a failure all dispatchers call at once. A call that is cancelled in the queue has cost
        # discovery its work, and the next call costs it again. A shorter wait leaves the call more time.
        self.watch_after_failure = WatchCall(
            deadline - self.whole_list_timeout - retry, self.whole_list_timeout
        )
        # A change may come right after a failed call, so a pause and a queued call fit as well.
        self.longest_pause = min(deadline - self.whole_list_timeout, ASK_WITHIN_SHARE * ask_within)

    def pause(self, failures: int, immediate: bool) -> PauseRange:
        """Return the bounds of the pause after `failures` consecutive failures.

        `immediate` is for a watch that fell silent.
        """
        if self.is_pushed:  # the agent serves only this process: the pause prevents a busy loop
            longest = min(self.longest_pause, MIN_BACKOFF_S * 2.0 ** min(failures - 1, 10))
        elif immediate:
            return PauseRange(0.0, IMMEDIATE_RETRY_S)
        else:
            longest = min(self.longest_pause, backoff(failures, self.dispatchers))
        return PauseRange(longest / 2, longest)


def backoff(failures: int, dispatchers: int) -> float:
    """Return the longest pause, in seconds, of a fleet of this size after `failures` consecutive failures.

    All dispatchers call the same service, and all at once after a release or an outage. The call rate of each
    is inversely proportional to their number.
    """
    callers = max(1.0, dispatchers / SMALL_FLEET_DISPATCHERS)
    longest = min(MAX_BACKOFF_S * callers, MAX_FLEET_BACKOFF_S)
    return min(longest, MIN_BACKOFF_S * callers * 2.0 ** min(failures, 10))
