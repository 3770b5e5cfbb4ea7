"""Who is told what happens to a request."""

from typing import NamedTuple, Protocol

from wagtailpoint.entry.plan import Plan
from wagtailpoint.entry.request import CallerRequest
from wagtailpoint.idempotency.outcome import Outcome
from wagtailpoint.ports.backend import BackendAddress, BackendFailure
from wagtailpoint.verdict import Verdict


class CompletedRequest(NamedTuple):
    """What became of a request.

    Attributes:
        plan: Where it went; None if it was refused before that was known.
        status: HTTP status of the reply.
        verdict: What the caller was told.
        code: The refusal's code, ``ok`` for an answer.
    """

    plan: Plan | None
    status: int
    verdict: Verdict
    code: str


class EntryObserver(Protocol):
    """Is told what happens to a request."""

    def on_completed(self, request: CallerRequest, completed: CompletedRequest) -> None:
        """The caller has its whole reply."""
        ...

    def on_reply_broken(self, request: CallerRequest, reason: str) -> None:
        """The reply broke off after it had begun."""
        ...

    def on_abandoned(self, request: CallerRequest) -> None:
        """The caller went away before its reply was whole."""
        ...

    def on_exchange_failed(
        self,
        request: CallerRequest,
        server: BackendAddress,
        failure: BackendFailure,
        *,
        again: bool,
    ) -> None:
        """One exchange gave no answer; ``again`` if the request is sent once more."""
        ...

    def on_keyed_attempt_ended(self, request: CallerRequest, outcome: Outcome) -> None:
        """A keyed attempt ended, whoever still waited for it."""
        ...
