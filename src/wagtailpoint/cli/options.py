"""The options that commands share, and the code that runs a command."""

import functools
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, NoReturn

import click
import trio
from result import Err, Ok, Result

from wagtailpoint.cli.changing import ChangeOptions
from wagtailpoint.cli.failures import CommandError, describe
from wagtailpoint.cli.output import Report, format_json
from wagtailpoint.cli.profile import AddressType, EntryAddress, Profile, read_profile
from wagtailpoint.cli.session import Session, Tools
from wagtailpoint.errors import InvalidInput
from wagtailpoint.settings import PlatformAddress

PROFILE_VARIABLE = "WAGTAILPOINT_PROFILE"
AUTHOR_VARIABLE = "WAGTAILPOINT_AUTHOR"

Command = Callable[..., Awaitable[Result[Report, CommandError]]]

_SESSION_OPTIONS = (
    click.option(
        "--platform",
        multiple=True,
        type=AddressType(),
        metavar="ADDRESS:PORT",
        help="Address of a server of the platform's object API; may be repeated.",
    ),
    click.option(
        "--entry",
        multiple=True,
        type=AddressType(),
        metavar="ADDRESS:PORT",
        help="Address of an entry instance, which also names the others; may be repeated.",
    ),
    click.option(
        "--profile",
        type=click.Path(path_type=Path),
        envvar=PROFILE_VARIABLE,
        show_envvar=True,
        help="JSON file with platform, entries and author.",
    ),
    click.option("--json", "as_json", is_flag=True, help="Print one JSON document."),
)

_CHANGE_OPTIONS = (
    click.option(
        "--author", envvar=AUTHOR_VARIABLE, show_envvar=True, help="Author of the change."
    ),
    click.option(
        "-m", "--message", default="", help="Reason for the change, shown in the history."
    ),
    click.option(
        "--base-version",
        type=click.IntRange(min=0),
        help="Version that the change is based on; later changes of its objects are a conflict.",
    ),
    click.option("--wait", is_flag=True, help="Wait until every live instance enforces it."),
    click.option(
        "--wait-timeout",
        type=click.FloatRange(min=0),
        default=ChangeOptions().wait_timeout_s,
        show_default=True,
        metavar="SECONDS",
        help="Longest time to wait, in seconds.",
    ),
)


def run_command(function: Command) -> Callable[..., None]:
    """Turn an async function into a command.

    The function receives a session; its report or error is printed and sets the exit code.
    """

    @functools.wraps(function)
    def run(
        *,
        platform: tuple[EntryAddress, ...],
        entry: tuple[EntryAddress, ...],
        profile: Path | None,
        as_json: bool,
        **arguments: Any,
    ) -> None:
        tools = click.get_current_context().find_object(Tools) or Tools()
        found = _load_profile(profile, platform, entry)
        if isinstance(found, Err):
            _fail(found.err_value, as_json)
        session = Session(profile=found.ok_value, tools=tools)
        try:
            outcome = trio.run(functools.partial(function, session, **arguments))
        except InvalidInput as invalid:
            _fail(invalid, as_json)
        if isinstance(outcome, Err):
            _fail(outcome.err_value, as_json)
        report = outcome.ok_value
        click.echo(format_json(report.data) if as_json else report.text)
        raise SystemExit(int(report.exit_code))

    decorated: Callable[..., None] = _add_options(run, _SESSION_OPTIONS)
    return decorated


def with_change_options(function: Command) -> Command:
    """Add the options of a change, which the function receives as ``options``."""

    @functools.wraps(function)
    async def call(
        session: Session,
        *,
        author: str | None,
        message: str,
        base_version: int | None,
        wait: bool,
        wait_timeout: float,
        **arguments: Any,
    ) -> Result[Report, CommandError]:
        options = ChangeOptions(author, message, base_version, wait, wait_timeout)
        return await function(session, options=options, **arguments)

    decorated: Command = _add_options(call, _CHANGE_OPTIONS)
    return decorated


def _add_options(function: Any, options: tuple[Callable[[Any], Any], ...]) -> Any:
    for option in reversed(options):
        function = option(function)
    return function


def _load_profile(
    path: Path | None, platform: tuple[EntryAddress, ...], entries: tuple[EntryAddress, ...]
) -> Result[Profile, InvalidInput]:
    """Read the profile file, if any; addresses on the command line take precedence."""

    def override(profile: Profile) -> Profile:
        servers = tuple(PlatformAddress(*address) for address in platform)
        return profile._replace(
            platform=servers or profile.platform, entries=entries or profile.entries
        )

    from_file: Result[Profile, InvalidInput] = read_profile(path) if path else Ok(Profile())
    return from_file.map(override)


def _fail(error: CommandError, as_json: bool) -> NoReturn:
    failure = describe(error)
    if as_json:
        click.echo(format_json(failure.data))
    else:
        click.echo(f"wagtailpoint: {failure.message}", err=True)
    raise SystemExit(int(failure.exit_code))
