"""The public exceptions of the package.

Messages state the value given, the value expected and how to correct it. Refusals of requests are
values, not exceptions (see ``wagtailpoint.admission``), because they are an ordinary outcome.
"""

from typing import Final, NamedTuple

from wagtailpoint.verdict import Verdict

MAX_DESCRIPTION_CHARACTERS: Final = 200


def describe_error(error: Exception) -> str:
    """Return the text of an error about input, which may repeat the input, in limited length."""
    return str(error)[:MAX_DESCRIPTION_CHARACTERS] or type(error).__name__


class WagtailpointError(Exception):
    """Base class of all exceptions raised by wagtailpoint."""


class Mistake(NamedTuple):
    """A mistake in the user's input.

    Attributes:
        path: The path of the field, for example ``routes[2].timeout_ms``.
        given: The value given, as the user wrote it.
        expected: A description of the values accepted, with their unit.
    """

    path: str
    given: str
    expected: str

    def __str__(self) -> str:
        return f"{self.path}: given {self.given}, expected {self.expected}"


class InvalidInput(WagtailpointError):
    """Invalid settings or configuration; contains all mistakes found."""

    def __init__(self, mistakes: list[Mistake]) -> None:
        super().__init__("\n".join(str(mistake) for mistake in mistakes))
        self.mistakes = mistakes


class PlatformUnavailable(WagtailpointError):
    """A call to the platform failed and definitely changed nothing.

    Attributes:
        retry_after_s: Delay in seconds after which the platform asked for a retry; None if not
            given.
    """

    def __init__(self, message: str = "", *, retry_after_s: float | None = None) -> None:
        super().__init__(message)
        self.retry_after_s = retry_after_s


class OutcomeUnknown(WagtailpointError):
    """The answer to a write to the platform was lost; the write may have taken effect.

    The caller has to read the object back. An unconditional retry could overwrite a change that was
    made in between.
    """


class WatchTooOld(WagtailpointError):
    """The platform has discarded events since the requested version; list again, then watch."""


class NoEntryAvailable(WagtailpointError):
    """No entry instance answered a caller within the deadline."""


class RequestUnanswered(WagtailpointError):
    """A caller received no complete response from any entry instance.

    Attributes:
        verdict: Whether the request may have run. After ``MAY_HAVE_RUN``, retry it with the same
            caller and the same key, or read the outcome from the service.
    """

    def __init__(self, *, verdict: Verdict, reason: str) -> None:
        super().__init__(f"no complete response: {reason}; verdict {verdict.value}")
        self.verdict = verdict
