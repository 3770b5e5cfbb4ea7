"""Limits of log lines: refused requests, dropped lines, and the form of a line."""

import re
import unittest
from contextlib import redirect_stdout
from datetime import datetime
from io import StringIO
from typing import Any

import trio
from loguru import logger

from tests.common.fake_clock import TrioClock
from wagtailpoint.observe import log
from wagtailpoint.observe.bounded_sink import LINES_PER_S_BY_BUDGET
from wagtailpoint.observe.log import admits_line, configure_log, log_event
from wagtailpoint.observe.metrics import Metrics
from wagtailpoint.platform.header_names import HEADER_NAMES
from wagtailpoint.proxy.caller_exchange import IncomingRequest
from wagtailpoint.proxy.request_context import Outcome
from wagtailpoint.proxy.request_log import NOT_RUN_BUDGET, RequestLog
from wagtailpoint.proxy.stop_clock import StopClock
from wagtailpoint.verdict import Verdict


class _Caller:
    """The part of a caller's exchange that is logged."""

    waited_s = 0.0


class LogBudgetTest(unittest.TestCase):
    def setUp(self) -> None:
        self.written = StringIO()
        with redirect_stdout(self.written):
            configure_log(level="INFO", instance="e")
        self.addCleanup(self.reset)

    def reset(self) -> None:
        logger.remove()
        logger.configure(extra={})
        log._output.sink = None

    def lines(self, event: str) -> list[str]:
        lines = self.written.getvalue().splitlines()
        return [line for line in lines if f"event={event} " in line]

    def test_refused_requests_do_not_displace_lines_of_requests_that_ran(self) -> None:
        """Guards against an overload whose refusals use up the lines of served requests."""

        async def write() -> None:
            caller: Any = _Caller()
            request_log = RequestLog(
                names=HEADER_NAMES, metrics=Metrics(), stop_clock=StopClock(clock=TrioClock())
            )
            request = IncomingRequest("GET", "/", [], trio.current_time())
            outcomes = [Outcome(429, "over-allowance", Verdict.NOT_RUN)] * 10
            outcomes.append(Outcome(200, "answered", Verdict.RAN))
            outcomes.append(Outcome(504, "deadline", Verdict.MAY_HAVE_RUN))
            for _ in range(200):
                for outcome in outcomes:
                    request_log.write(request, None, outcome, caller)

        trio.run(write)
        lines = self.lines("request")
        self.assertEqual(sum("status=200" in line for line in lines), 200)
        self.assertEqual(sum("status=504" in line for line in lines), 200)
        refused = sum("status=429" in line for line in lines)
        self.assertGreater(refused, 0)
        self.assertLess(refused, 1000)

    def test_dropped_lines_are_counted(self) -> None:
        """Guards against lines that are left out without a trace."""
        assert log._output.sink is not None
        allowed = 2 * LINES_PER_S_BY_BUDGET[NOT_RUN_BUDGET]
        admitted = sum(admits_line(NOT_RUN_BUDGET) for _ in range(1000))
        self.assertLess(admitted, 2 * allowed)
        log._output.sink._report()
        (line,) = self.lines("log-lines-dropped")
        self.assertIn(f"{NOT_RUN_BUDGET}={1000 - admitted}", line)

    def test_lines_below_the_level_use_up_no_budget(self) -> None:
        """Guards against counting lines as dropped that are not written anyway."""
        for _ in range(5000):
            log_event("quiet", level="DEBUG")
        log_event("quiet")
        self.assertEqual(len(self.lines("quiet")), 1)

    def test_time_stamp_has_milliseconds_and_offset(self) -> None:
        """Guards against a changed form of the time stamp, which other tools read."""
        before = datetime.now().astimezone()
        log_event("stamped")
        (line,) = self.lines("stamped")
        text = line.split(" ")[0].removeprefix("time=")
        self.assertRegex(text, re.compile(r"^\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}[+-]\d\d:\d\d$"))
        self.assertLess(abs((datetime.fromisoformat(text) - before).total_seconds()), 60.0)

    def test_values_are_quoted_as_before(self) -> None:
        """Guards against lines that can't be parsed, or are parsed as other pairs."""
        log_event("quoted", number=1.5, flag=True, empty="", pair="a=b", none=None)
        (line,) = self.lines("quoted")
        self.assertIn('number=1.5 flag=True empty="" pair="a=b" none=None', line)


if __name__ == "__main__":
    unittest.main()
