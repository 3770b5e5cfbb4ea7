"""Commands on configuration objects: apply, get, diff, delete, history, revert, check."""

from collections.abc import Mapping
from pathlib import Path
from typing import Any

import click
from result import Err, Ok, Result

from wagtailpoint.checking import check_reference, did_you_mean, parse_json
from wagtailpoint.cli.changing import (
    ChangeOptions,
    Edit,
    change,
    read_current,
    report_change,
    resolve_author,
    resolve_base_version,
)
from wagtailpoint.cli.differences import compare, format_differences
from wagtailpoint.cli.exit_codes import ExitCode
from wagtailpoint.cli.failures import CommandError, wrong_input
from wagtailpoint.cli.options import run_command, with_change_options
from wagtailpoint.cli.output import (
    Report,
    change_data,
    format_json,
    format_table,
    format_time,
)
from wagtailpoint.cli.session import Session
from wagtailpoint.config.compile import compile_config
from wagtailpoint.config.files import read_objects
from wagtailpoint.config.objects import KINDS
from wagtailpoint.config.store import ConfigStore
from wagtailpoint.errors import InvalidInput, Mistake
from wagtailpoint.settings import check_settings

_FILES = click.argument("files", nargs=-1, required=True, type=click.Path(path_type=Path))


@click.command()
@_FILES
@run_command
@with_change_options
async def apply(
    session: Session, *, files: tuple[Path, ...], options: ChangeOptions
) -> Result[Report, CommandError]:
    """Create or replace the objects in FILES (or in all *.json of a directory) in one change.

    The whole resulting configuration is checked before anything is written to the platform.
    """
    read = read_objects(files)
    if isinstance(read, Err):
        return read
    names = ", ".join(str(path) for path in files)
    edit = Edit(read.ok_value, (), f"apply {names}")
    return await change(session, lambda _: Ok(edit), options)


@click.command()
@click.argument("keys", nargs=-1, required=True, metavar="KIND/NAME...")
@run_command
@with_change_options
async def delete(
    session: Session, *, keys: tuple[str, ...], options: ChangeOptions
) -> Result[Report, CommandError]:
    """Delete objects that no other object refers to, in one change."""

    def edit(objects: Mapping[str, Any]) -> Result[Edit, InvalidInput]:
        mistakes: list[Mistake] = []
        for key in keys:
            check_reference(path=key, given=key, known=objects, what="an object", mistakes=mistakes)
        if mistakes:
            return Err(InvalidInput(mistakes))
        return Ok(Edit({}, list(dict.fromkeys(keys)), f"delete {', '.join(keys)}"))

    return await change(session, edit, options)


@click.command()
@click.argument("what", required=False, default="", metavar="[KIND[/NAME]]")
@run_command
async def get(session: Session, *, what: str) -> Result[Report, CommandError]:
    """List all objects or those of one KIND, or print the object KIND/NAME as JSON."""
    kind, _, name = what.partition("/")
    if kind and kind not in KINDS:
        expected = f"one of: {', '.join(KINDS)}{did_you_mean(kind, KINDS)}"
        return Err(wrong_input("KIND", kind, expected))
    async with session.open_store() as opened:
        if isinstance(opened, Err):
            return opened
        current = await read_current(opened.ok_value)
    if isinstance(current, Err):
        return current
    version, objects = current.ok_value
    if name:
        return _get_object(version, objects, what)
    prefix = f"{kind}/" if kind else ""
    found = {key: objects[key] for key in sorted(objects) if key.startswith(prefix)}
    rows = [[*key.split("/", 1), _format_field_names(value)] for key, value in found.items()]
    text = f"version {version}\n{format_table(['kind', 'name', 'fields'], rows)}"
    return Ok(Report(text, {"version": version, "objects": found}))


def _get_object(version: int, objects: Mapping[str, Any], key: str) -> Result[Report, CommandError]:
    mistakes: list[Mistake] = []
    if not check_reference(path=key, given=key, known=objects, what="an object", mistakes=mistakes):
        return Err(InvalidInput(mistakes))
    data = {"version": version, "objects": {key: objects[key]}}
    return Ok(Report(format_json({key: objects[key]}), data))


def _format_field_names(value: Any) -> str:
    return ", ".join(value) if isinstance(value, dict) else "-"


@click.command()
@_FILES
@run_command
async def diff(session: Session, *, files: tuple[Path, ...]) -> Result[Report, CommandError]:
    """Show the fields that apply FILES would change, and check the resulting configuration."""
    read = read_objects(files)
    if isinstance(read, Err):
        return read
    async with session.open_store() as opened:
        if isinstance(opened, Err):
            return opened
        found = await read_current(opened.ok_value)
    if isinstance(found, Err):
        return found
    current = found.ok_value
    merged = {**current.objects, **read.ok_value}
    checked = compile_config(version=current.version + 1, objects=merged)
    if isinstance(checked, Err):
        return checked
    differences = compare(current.objects, merged)
    data = {
        "version": current.version,
        "differences": [difference._asdict() for difference in differences],
    }
    return Ok(Report(format_differences(differences), data))


@click.command()
@click.option("--most", type=click.IntRange(min=1), default=20, show_default=True)
@click.option(
    "--change-id",
    help="Only the change with this id, as shown when the outcome of a change is unknown.",
)
@run_command
async def history(
    session: Session, *, most: int, change_id: str | None
) -> Result[Report, CommandError]:
    """List the latest changes, newest first."""
    async with session.open_store() as opened:
        if isinstance(opened, Err):
            return opened
        found = await opened.ok_value.history(max_changes=most)
    if isinstance(found, Err):
        return found
    changes = [info for info in found.ok_value if change_id in (None, info.change_id)]
    rows = [
        [info.version, format_time(info.time_s), info.author, info.message, info.change_id]
        for info in changes
    ]
    text = format_table(["version", "time", "author", "message", "change id"], rows)
    missing = change_id is not None and not changes
    if missing:
        text = f"change {change_id} is not among the newest {most} changes"
    data = {"changes": [change_data(info) for info in changes]}
    return Ok(Report(text, data, ExitCode.FAILED if missing else ExitCode.OK))


@click.command()
@click.option("--to", "to_version", type=click.IntRange(min=1), required=True, metavar="VERSION")
@run_command
@with_change_options
async def revert(
    session: Session, *, to_version: int, options: ChangeOptions
) -> Result[Report, CommandError]:
    """Write the content of an older VERSION as a new version, in one change."""
    if options.wait and not session.profile.entries:
        return Err(wrong_input("--entry", "nothing", "the address of an entry, which --wait needs"))
    async with session.open_store() as opened:
        if isinstance(opened, Err):
            return opened
        return await _revert(session, opened.ok_value, to_version, options)


async def _revert(
    session: Session, store: ConfigStore, to_version: int, options: ChangeOptions
) -> Result[Report, CommandError]:
    found = await read_current(store)
    if isinstance(found, Err):
        return found
    current = found.ok_value
    if to_version >= current.version:
        expected = f"a version before the newest, {current.version}"
        return Err(wrong_input("--to", str(to_version), expected))
    older = await store.read_version(to_version)
    if isinstance(older, Err):
        return older
    target = older.ok_value.objects
    checked = compile_config(version=current.version + 1, objects=target)
    if isinstance(checked, Err):
        return checked
    base = resolve_base_version(options, current)
    if isinstance(base, Err):
        return base
    written = await store.revert(
        to_version=to_version,
        author=resolve_author(session, options),
        message=options.message or f"revert to version {to_version}",
        base_version=base.ok_value,
    )
    if isinstance(written, Err):
        return written
    put = [key for key in sorted(target) if current.objects.get(key) != target[key]]
    deleted = sorted(current.objects.keys() - target.keys())
    return Ok(await report_change(session, written.ok_value, put, deleted, options))


@click.command()
@_FILES
@run_command
async def check(session: Session, *, files: tuple[Path, ...]) -> Result[Report, CommandError]:
    """Check settings files, or object files as one configuration, without the platform."""
    settings_files, object_files = _classify_files(files)
    mistakes: list[Mistake] = []
    for path, value in settings_files.items():
        checked = check_settings(value)
        if isinstance(checked, Err):
            found = checked.err_value.mistakes
            mistakes += [item._replace(path=f"{path}: {item.path}") for item in found]
    objects: dict[str, Any] = {}
    if object_files:
        read = read_objects(object_files)
        objects = read.ok_value if isinstance(read, Ok) else {}
        compiled = read.and_then(lambda found: compile_config(version=1, objects=found))
        if isinstance(compiled, Err):
            mistakes += compiled.err_value.mistakes
    if mistakes:
        return Err(InvalidInput(mistakes))
    text = f"valid: {len(settings_files)} settings files, {len(objects)} objects"
    return Ok(Report(text, {"settings_files": len(settings_files), "objects": len(objects)}))


def _classify_files(files: tuple[Path, ...]) -> tuple[dict[Path, Any], list[Path]]:
    """Separate settings files from object files.

    Only settings files have an ``address``. Files that can't be read or parsed count as object
    files, so that reading the objects reports their mistakes.
    """
    settings_files: dict[Path, Any] = {}
    object_files: list[Path] = []
    for path in files:
        for file in sorted(path.glob("*.json")) or [path]:
            parsed = parse_json(file.read_bytes(), path=str(file)) if file.is_file() else None
            value = parsed.ok() if parsed is not None else None
            if isinstance(value, dict) and "address" in value:
                settings_files[file] = value
            else:
                object_files.append(file)
    return settings_files, object_files
