"""The steps that all commands share that change the configuration.

The current configuration is read and edited, and the whole result is checked before the platform is
asked to write it. With ``--wait`` the command then waits until every instance enforces the change.
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
    """The options of every command that changes the configuration.

    Attributes:
        author: Name of the author; None takes the author of the profile, or else the system's user.
        message: Reason for the change, shown in the history; empty takes the message of the edit.
        base_version: Version that the change was prepared against; None takes the newest.
        wait: Whether to wait until the change is in force.
        wait_timeout_s: Longest time to wait, in seconds.
    """

    author: str | None = None
    message: str = ""
    base_version: int | None = None
    wait: bool = False
    wait_timeout_s: float = 30.0


class Edit(NamedTuple):
    """The objects that a command puts and deletes.

    Attributes:
        puts: New values by ``kind/name``.
        deletes: Keys, ``kind/name``, of the objects to delete.
        message: Message of the change when the operator gives none.
    """

    puts: Mapping[str, Any]
    deletes: Sequence[str]
    message: str


class Current(NamedTuple):
    """The newest configuration; version 0 without objects if there was no change yet."""

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
    """Convert a snapshot; None gives the empty configuration."""
    return Current(snapshot.change.version, snapshot.objects) if snapshot else Current(0, {})


async def change(
    session: Session, make_edit: MakeEdit, options: ChangeOptions
) -> Result[Report, CommandError]:
    """Make one change of the configuration.

    Args:
        session: The session of this run.
        make_edit: Derives the edit from the current objects.
        options: The options that the operator gave.
    """
    if options.wait and not session.profile.entries:
        return Err(wrong_input("--entry", "nothing", "the address of an entry, which --wait needs"))
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
        text = f"nothing to change: version {current.version} already has this content"
        report = Report(text, {"changed": False, "version": current.version})
        return Ok(await wait_if_requested(session, report, current.version, options))
    # An instance that can't compile a configuration keeps its last valid one. An invalid change
    # would be accepted by the platform and never come into force, so it is refused here.
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
    """Report a change that was written, and wait until it is in force if requested."""
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
    """Wait until a version is in force, if requested, and add the result to the report."""
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
    """Return the version against which a change is made.

    A base version that is newer than the newest version is an error.
    """
    if options.base_version is None:
        return Ok(current.version)
    if options.base_version > current.version:
        expected = f"a version up to the newest, {current.version}"
        return Err(wrong_input("--base-version", str(options.base_version), expected))
    return Ok(options.base_version)


def resolve_author(session: Session, options: ChangeOptions) -> str:
    """Return the author of the change: of the options, the profile or the system's user."""
    return options.author or session.profile.author or default_author()
