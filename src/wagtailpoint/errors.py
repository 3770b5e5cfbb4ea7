"""The exceptions that cross the boundaries of the package.

Messages say what was given, what was expected and how to mend it. Refusals of requests are not
exceptions but values (see ``wagtailpoint.admission``), because a refusal is an ordinary outcome.
"""

from typing import NamedTuple

from wagtailpoint.verdict import Verdict


class WagtailpointError(Exception):
    """The base of all exceptions raised by wagtailpoint."""


class Mistake(NamedTuple):
    """One mistake in the user's input.

    Attributes:
        path: The field, for example ``routes[2].timeout_ms``.
        given: What was there, as the user wrote it.
        expected: What would have been accepted, with its unit.
    """

    path: str
    given: str
    expected: str

    def __str__(self) -> str:
        return f"{self.path}: given {self.given}, expected {self.expected}"


class InvalidInput(WagtailpointError):
    """Settings or configuration that break a rule; carries every mistake found, not just one."""

    def __init__(self, mistakes: list[Mistake]) -> None:
        super().__init__("\n".join(str(mistake) for mistake in mistakes))
        self.mistakes = mistakes


class PlatformUnavailable(WagtailpointError):
    """The platform did not do what was asked, and certainly changed nothing.

    Attributes:
        retry_after_s: When the platform asked to come back, in seconds; None if it did not say.
    """

    def __init__(self, message: str = "", *, retry_after_s: float | None = None) -> None:
        super().__init__(message)
        self.retry_after_s = retry_after_s


class OutcomeUnknown(WagtailpointError):
    """A write was sent to the platform and its answer was lost: it may or may not have landed.

    The only sound reaction is to read the object back; to write again blindly could undo a change
    that somebody else made in between.
    """


class WatchTooOld(WagtailpointError):
    """The platform no longer has the events since the version asked for: list again, then watch."""


class NoEntryAvailable(WagtailpointError):
    """A caller found no entry instance that answered within the deadline."""


class RequestUnanswered(WagtailpointError):
    """A caller's request got no whole answer from any entry instance.

    Attributes:
        verdict: Whether the request may have run; after ``MAY_HAVE_RUN`` repeat it with the same
            caller and the same key, or read the outcome from the service.
    """

    def __init__(self, *, verdict: Verdict, reason: str) -> None:
        super().__init__(f"no whole answer: {reason}; verdict {verdict.value}")
        self.verdict = verdict
