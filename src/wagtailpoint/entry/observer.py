"""The interface of observers of requests."""

from typing import NamedTuple, Protocol

from wagtailpoint.entry.plan import Plan
from wagtailpoint.entry.request import CallerRequest
from wagtailpoint.idempotency.outcome import Outcome
from wagtailpoint.ports.backend import BackendAddress, BackendFailure
from wagtailpoint.verdict import Verdict


class CompletedRequest(NamedTuple):
    """A request that was replied to.

    Attributes:
        plan: The plan of the request; None if it was refused before it was planned.
        status: HTTP status of the reply.
        verdict: The verdict in the reply.
        code: The code of the refusal; ``ok`` for an answer.
    """

    plan: Plan | None
    status: int
    verdict: Verdict
    code: str


class EntryObserver(Protocol):
    """Receives the events of requests."""

    def on_completed(self, request: CallerRequest, completed: CompletedRequest) -> None:
        """Handle a completed reply."""
        ...

    def on_reply_broken(self, request: CallerRequest, reason: str) -> None:
        """Handle a reply that was truncated after it had begun."""
        ...

    def on_abandoned(self, request: CallerRequest) -> None:
        """Handle a caller that left before its reply was complete."""
        ...

    def on_exchange_failed(
        self,
        request: CallerRequest,
        server: BackendAddress,
        failure: BackendFailure,
        *,
        again: bool,
    ) -> None:
        """Handle a failed exchange; ``again`` tells whether the request is retried."""
        ...

    def on_keyed_attempt_ended(self, request: CallerRequest, outcome: Outcome) -> None:
        """Handle the end of a keyed attempt, whether or not a caller still waits for it."""
        ...
