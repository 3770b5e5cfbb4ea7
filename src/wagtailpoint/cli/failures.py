"""Maps each kind of error to its message and exit code."""

from functools import singledispatch
from typing import Any, NamedTuple

from wagtailpoint.cli.exit_codes import ExitCode
from wagtailpoint.cli.output import change_data, format_change
from wagtailpoint.config.store import ApplyConflict
from wagtailpoint.errors import InvalidInput, Mistake, OutcomeUnknown, PlatformUnavailable


class EntryUnreachable(NamedTuple):
    """No usable answer came from the entry instances that were asked.

    Attributes:
        reason: Address and error of each of them.
    """

    reason: str


class InvalidMergedConfig(InvalidInput):
    """A change is valid by itself, but not when merged with a concurrent change."""


CommandError = (
    InvalidInput | ApplyConflict | OutcomeUnknown | PlatformUnavailable | EntryUnreachable
)


class Failure(NamedTuple):
    """The description of an error for the user.

    Attributes:
        exit_code: Exit code of the command.
        message: Text for people.
        details: Additional fields for ``--json``.
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
    """Return an error with a single mistake."""
    return InvalidInput([Mistake(path, given, expected)])


@singledispatch
def describe(error: Any) -> Failure:
    """Return the message and exit code of an error."""
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
        f"{format_change(error.other)}\nread it with `wagtailpoint get`, then retry"
    )
    details = {"other": change_data(error.other), "objects": list(error.objects)}
    return Failure(ExitCode.CONFLICT, message, details)


@describe.register
def _(error: OutcomeUnknown) -> Failure:
    message = (
        f"outcome unknown: the change may or may not have been written ({error})\n"
        "check `wagtailpoint history` once the platform answers, before you repeat the change"
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
        "conflict, nothing was changed: another change was written meanwhile "
        "(see `wagtailpoint history`), and this one is invalid in combination with it:\n"
        f"{lines}"
    )
    mistakes = [mistake._asdict() for mistake in error.mistakes]
    return Failure(ExitCode.CONFLICT, message, {"mistakes": mistakes})
