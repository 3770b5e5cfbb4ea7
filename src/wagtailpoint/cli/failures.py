"""How each kind of error is shown, and the exit code that it leads to."""

from functools import singledispatch
from typing import Any, NamedTuple

from wagtailpoint.cli.exit_codes import ExitCode
from wagtailpoint.cli.output import change_data, format_change
from wagtailpoint.config.store import ApplyConflict
from wagtailpoint.errors import InvalidInput, Mistake, OutcomeUnknown, PlatformUnavailable


class EntryUnreachable(NamedTuple):
    """No entry instance gave a usable answer.

    Attributes:
        reason: What each of them did, or that none was named.
    """

    reason: str


class InvalidMergedConfig(InvalidInput):
    """The change was valid, but not together with another one that landed meanwhile."""


CommandError = (
    InvalidInput | ApplyConflict | OutcomeUnknown | PlatformUnavailable | EntryUnreachable
)


class Failure(NamedTuple):
    """An error, ready to be shown.

    Attributes:
        exit_code: The exit code.
        message: For people.
        details: More fields for ``--json``.
    """

    exit_code: ExitCode
    message: str
    details: dict[str, Any]

    @property
    def data(self) -> dict[str, Any]:
        """The failure as JSON."""
        name = self.exit_code.name.lower()
        return {"error": name, "exit_code": int(self.exit_code), "message": self.message} | (
            self.details
        )


def wrong_input(path: str, given: str, expected: str) -> InvalidInput:
    """One mistake as an error."""
    return InvalidInput([Mistake(path, given, expected)])


@singledispatch
def describe(error: Any) -> Failure:
    """Describe an error."""
    return Failure(ExitCode.FAILED, f"failed: {error}", {})


@describe.register
def _(error: InvalidInput) -> Failure:
    lines = "\n".join(f"  {mistake}" for mistake in error.mistakes)
    mistakes = [mistake._asdict() for mistake in error.mistakes]
    message = f"wrong input:\n{lines}"
    return Failure(ExitCode.WRONG_INPUT, message, {"mistakes": mistakes})


@describe.register
def _(error: ApplyConflict) -> Failure:
    message = (
        f"conflict, nothing was changed: {', '.join(error.objects)} was changed meanwhile in "
        f"{format_change(error.other)}\nlook at it (wagtailpoint get), then try again"
    )
    details = {"other": change_data(error.other), "objects": list(error.objects)}
    return Failure(ExitCode.CONFLICT, message, details)


@describe.register
def _(error: OutcomeUnknown) -> Failure:
    message = (
        f"outcome unknown: the change may or may not have landed ({error})\n"
        "look for it in `wagtailpoint history` once the platform answers, before you repeat it"
    )
    return Failure(ExitCode.UNKNOWN_OUTCOME, message, {})


@describe.register
def _(error: PlatformUnavailable) -> Failure:
    message = f"platform unavailable: {error}; nothing was changed"
    return Failure(ExitCode.PLATFORM_UNAVAILABLE, message, {})


@describe.register
def _(error: EntryUnreachable) -> Failure:
    return Failure(ExitCode.FAILED, f"no entry instance answered: {error.reason}", {})


@describe.register
def _(error: InvalidMergedConfig) -> Failure:
    lines = "\n".join(f"  {mistake}" for mistake in error.mistakes)
    message = (
        "conflict, nothing was changed: another change landed meanwhile (wagtailpoint history) "
        f"and this one is wrong together with it:\n{lines}"
    )
    mistakes = [mistake._asdict() for mistake in error.mistakes]
    return Failure(ExitCode.CONFLICT, message, {"mistakes": mistakes})
