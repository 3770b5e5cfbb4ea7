"""One way for every command that changes the configuration.

Read, edit, check the whole result, and only then ask the platform to write it; a change that was
accepted is followed until every instance enforces it, if asked for.
"""

from collections.abc import Callable, Mapping, Sequence
from typing import Any, NamedTuple

import click
from result import Err, Ok, Result

from wagtailpoint.cli.exit_codes import ExitCode
from wagtailpoint.cli.failures import CommandError, wrong_input
from wagtailpoint.cli.output import Report, change_data, format_change
from wagtailpoint.cli.profile import default_author
from wagtailpoint.cli.session import Session
from wagtailpoint.cli.waiting import wait_for_version
from wagtailpoint.config.compile import compile_config
from wagtailpoint.config.manifest import Snapshot
from wagtailpoint.config.store import ConfigStore
from wagtailpoint.errors import InvalidInput


class ChangeOptions(NamedTuple):
    """The options of every command that changes something.

    Attributes:
        author: Who makes the change; None takes the profile's or the system's user.
        message: Why.
        base_version: The version that the operator looked at; None takes the newest.
        wait: Wait until the change is in force.
        wait_timeout_s: How long, in seconds.
    """

    author: str | None = None
    message: str = ""
    base_version: int | None = None
    wait: bool = False
    wait_timeout_s: float = 30.0


class Edit(NamedTuple):
    """What a command wants to change, with the message used when the operator gives none."""

    puts: Mapping[str, Any]
    deletes: Sequence[str]
    message: str


class Current(NamedTuple):
    """The newest configuration; version 0 without objects before the first change."""

    version: int
    objects: Mapping[str, Any]


MakeEdit = Callable[[Mapping[str, Any]], Result[Edit, InvalidInput]]


async def read_current(store: ConfigStore) -> Result[Current, CommandError]:
    """Read the newest configuration."""
    snapshot = await store.read()
    if isinstance(snapshot, Err):
        return snapshot
    return Ok(current_from_snapshot(snapshot.ok_value))


def current_from_snapshot(snapshot: Snapshot | None) -> Current:
    """A snapshot, or the empty configuration."""
    return Current(snapshot.change.version, snapshot.objects) if snapshot else Current(0, {})


async def change(
    session: Session, make_edit: MakeEdit, options: ChangeOptions
) -> Result[Report, CommandError]:
    """Make one change.

    Args:
        session: The run.
        make_edit: From the current objects to what shall change.
        options: The operator's options.
    """
    if options.wait and not session.profile.entries:
        return Err(wrong_input("--entry", "nothing", "the address of an entry, for --wait"))
    async with session.open_store() as opened:
        if isinstance(opened, Err):
            return opened
        return await _change(session, opened.ok_value, make_edit, options)


async def _change(
    session: Session, store: ConfigStore, make_edit: MakeEdit, options: ChangeOptions
) -> Result[Report, CommandError]:
    found = await read_current(store)
    if isinstance(found, Err):
        return found
    current = found.ok_value
    edited = make_edit(current.objects)
    if isinstance(edited, Err):
        return edited
    edit = edited.ok_value
    puts = {key: value for key, value in edit.puts.items() if current.objects.get(key) != value}
    if not puts and not edit.deletes:
        text = f"nothing to change: version {current.version} has it already"
        report = Report(text, {"changed": False, "version": current.version})
        return Ok(await wait_if_requested(session, report, current.version, options))
    # An instance keeps its last good configuration when it meets one that it can't compile, so a
    # wrong change would be accepted and never come into force. It must not reach the platform.
    merged = {key: value for key, value in current.objects.items() if key not in edit.deletes}
    checked = compile_config(version=current.version + 1, objects=merged | puts)
    if isinstance(checked, Err):
        return checked
    base = resolve_base_version(options, current)
    if isinstance(base, Err):
        return base
    written = await store.apply(
        puts=puts,
        deletes=edit.deletes,
        base_version=base.ok_value,
        author=resolve_author(session, options),
        message=options.message or edit.message,
    )
    if isinstance(written, Err):
        return written
    return Ok(await report_change(session, written.ok_value, sorted(puts), edit.deletes, options))


async def report_change(
    session: Session,
    snapshot: Snapshot,
    put: Sequence[str],
    deleted: Sequence[str],
    options: ChangeOptions,
) -> Report:
    """Say what landed, and follow it if asked for."""
    info = snapshot.change
    lines = [format_change(info)]
    lines += [f"  put {key}" for key in put]
    lines += [f"  delete {key}" for key in deleted]
    data = {
        "changed": True,
        "version": info.version,
        "change": change_data(info),
        "put": list(put),
        "deleted": list(deleted),
    }
    return await wait_if_requested(session, Report("\n".join(lines), data), info.version, options)


async def wait_if_requested(
    session: Session, report: Report, version: int, options: ChangeOptions
) -> Report:
    """Wait until a version is in force, if the operator asked for it."""
    if not options.wait:
        return report
    waited = await wait_for_version(
        session,
        version,
        timeout_s=options.wait_timeout_s,
        progress=lambda line: click.echo(line, err=True),
    )
    return Report(
        text=f"{report.text}\n{waited.text}",
        data=report.data | {"wait": waited.data},
        exit_code=ExitCode.OK if waited.done else ExitCode.WAIT_TIMED_OUT,
    )


def resolve_base_version(options: ChangeOptions, current: Current) -> Result[int, InvalidInput]:
    """The version against which a change is made."""
    if options.base_version is None:
        return Ok(current.version)
    if options.base_version > current.version:
        expected = f"a version up to the newest, {current.version}"
        return Err(wrong_input("--base-version", str(options.base_version), expected))
    return Ok(options.base_version)


def resolve_author(session: Session, options: ChangeOptions) -> str:
    """Who makes the change."""
    return options.author or session.profile.author or default_author()
