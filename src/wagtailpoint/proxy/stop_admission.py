"""Which requests a stopping instance still accepts."""

from typing import Final

import trio

from wagtailpoint.proxy.answer_times import AnswerTimes
from wagtailpoint.proxy.request_context import RequestContext
from wagtailpoint.proxy.stop_clock import StopClock

REPLY_RESERVE_S: Final = 0.25
"""Time between the latest answer of a backend server and the end of the process, for the way back
of the answer and its reply."""

MIN_SAMPLES: Final = 20
MIN_SAMPLES_AT_MOST_ONCE: Final = 100
"""The number of answered requests of which the longest time is believed. One more request takes
longer than the longest of ``n`` like it with a probability of ``1 / (n + 1)``."""

MARGIN_FACTOR: Final = 1.5
MARGIN_FACTOR_AT_MOST_ONCE: Final = 2.0
"""The time that has to be left, as a multiple of the longest recent one. A request that is cut and
must run at most once leaves its caller without knowing whether it ran."""


class StopAdmission:
    """Decides whether a request will be answered before a planned stop ends the process."""

    def __init__(self, *, clock: StopClock, times: AnswerTimes) -> None:
        """Initialise the admission.

        Args:
            clock: Measures the stop.
            times: The times that requests have taken.
        """
        self._clock = clock
        self._times = times

    def admits(self, context: RequestContext) -> bool:
        """Return whether a request may be sent now; all may if the instance is not stopping.

        Either its own deadline comes before the end of the process, or requests of its route have
        recently taken far less than what is left. Backend servers are given no more time than that.
        """
        if not self._clock.has_begun:
            return True
        left_s = self._clock.remaining_s - REPLY_RESERVE_S
        context.process_ends_at = trio.current_time() + left_s
        if context.remaining_s <= left_s:
            return True
        longest = self._times.longest(context.route.name, context.service)
        if context.route.idempotent:
            return longest.answered >= MIN_SAMPLES and MARGIN_FACTOR * longest.seconds <= left_s
        return (
            longest.answered >= MIN_SAMPLES_AT_MOST_ONCE
            and MARGIN_FACTOR_AT_MOST_ONCE * longest.seconds <= left_s
        )
