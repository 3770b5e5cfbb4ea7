"""Refuses requests early while this instance is short of processor time."""

from collections.abc import Callable
from http import HTTPStatus
from typing import Final

import trio

from wagtailpoint.admission.loop_overload import LoopOverload
from wagtailpoint.proxy.caller_exchange import CallerExchange
from wagtailpoint.proxy.refusal import Refusal
from wagtailpoint.proxy.request_context import Outcome
from wagtailpoint.routing.table import HostRoute

REASON: Final = "instance overloaded"
RESULT: Final = "instance-overloaded"


class OverloadGate:
    """Decides where requests may wait whether this instance can still answer a new one in time."""

    def __init__(
        self,
        *,
        overload: LoopOverload,
        is_enabled: Callable[[str], bool],
        has_alternative: Callable[[], bool],
    ) -> None:
        """Initialise the gate.

        Args:
            overload: Decides about single requests.
            is_enabled: Returns whether requests of a service may be refused here.
            has_alternative: Returns whether lookups name another instance to callers of this one.
        """
        self._overload = overload
        self._is_enabled = is_enabled
        self._has_alternative = has_alternative

    def record_answer(self, route: HostRoute, service: str, seconds: float) -> None:
        """Record the time from the arrival of an answered request until its whole answer."""
        if self._is_enabled(service):
            self._overload.record_answer(route, seconds, trio.current_time())

    def refusal(self, route: HostRoute, service: str, deadline: float) -> Refusal | None:
        """Return the refusal of a request that can't be answered in time, or None.

        Args:
            route: The route of the request.
            service: The service that it would be sent to.
            deadline: Trio time by which the reply is due, in seconds.
        """
        if not self._is_enabled(service):
            return None
        now = trio.current_time()
        overloaded = self._overload.refusal(route, deadline - now, now)
        if overloaded is None:
            return None
        return Refusal(HTTPStatus.SERVICE_UNAVAILABLE, REASON, overloaded.retry_after_s)

    async def send(self, refusal: Refusal, caller: CallerExchange) -> Outcome:
        """Send a refusal; it ends the connection if the caller can retry at another instance."""
        if self._has_alternative():
            caller.close_after_reply()
        outcome = await refusal.send(caller)
        return outcome._replace(result=RESULT)
