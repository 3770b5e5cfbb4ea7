"""Commands on planned moves and drains."""

from collections.abc import Mapping, Sequence
from typing import Any

import click
from result import Err, Ok, Result

from wagtailpoint.checking import check_reference
from wagtailpoint.cli.changing import ChangeOptions, Edit, change
from wagtailpoint.cli.failures import CommandError, wrong_input
from wagtailpoint.cli.options import run_command, with_change_options
from wagtailpoint.cli.output import Report, format_table
from wagtailpoint.cli.profile import AddressType, EntryAddress
from wagtailpoint.cli.session import Session
from wagtailpoint.cli.status import read_members
from wagtailpoint.config.compile import compile_config
from wagtailpoint.errors import InvalidInput, Mistake

_DEFAULT_STEPS = (0.05, 0.25, 0.5, 1.0)
_MOVE_FIELDS = ("name", "step", "share", "state", "allowance_rps", "version", "writer", "reason")
_DRAIN_FIELDS = ("name", "in_flight", "backend_servers")


@click.group()
def move() -> None:
    """Plan and control moves of a workspace's traffic to other backend servers."""


@click.group()
def drain() -> None:
    """Drain backend servers or failure domains, so that they receive no new requests."""


@move.command("start")
@click.argument("name")
@click.option("--workspace", required=True)
@click.option("--service", required=True)
@click.option("--to", "to_group", required=True, metavar="GROUP")
@click.option("--from", "from_group", metavar="GROUP", help="Default: the workspace's group.")
@click.option(
    "--cap-rps", type=float, required=True, help="Maximum requests per second to the new group."
)
@click.option(
    "--step",
    "steps",
    type=float,
    multiple=True,
    default=_DEFAULT_STEPS,
    show_default=True,
    help="Fraction of the traffic (0 to 1) in one step; may be repeated, in rising order.",
)
@click.option(
    "--hold-s",
    type=float,
    default=30.0,
    show_default=True,
    help="Duration of each step, in seconds.",
)
@run_command
@with_change_options
async def start_move(
    session: Session,
    *,
    name: str,
    workspace: str,
    service: str,
    to_group: str,
    from_group: str | None,
    cap_rps: float,
    steps: tuple[float, ...],
    hold_s: float,
    options: ChangeOptions,
) -> Result[Report, CommandError]:
    """Start the move NAME."""

    def edit(objects: Mapping[str, Any]) -> Result[Edit, InvalidInput]:
        if f"move/{name}" in objects:
            return Err(wrong_input("NAME", name, "a name that no move has yet"))
        value = {
            "workspace": workspace,
            "service": service,
            "from_group": from_group or _current_group(objects, workspace, service),
            "to_group": to_group,
            "cap_rps": cap_rps,
            "steps": list(steps),
            "hold_s": hold_s,
            "state": "run",
        }
        return Ok(Edit({f"move/{name}": value}, (), f"start move/{name}"))

    return await change(session, edit, options)


@move.command("pause")
@click.argument("name")
@run_command
@with_change_options
async def pause_move(
    session: Session, *, name: str, options: ChangeOptions
) -> Result[Report, CommandError]:
    """Pause the move NAME at its current step."""
    return await _set_state(session, name, "pause", options)


@move.command("resume")
@click.argument("name")
@run_command
@with_change_options
async def resume_move(
    session: Session, *, name: str, options: ChangeOptions
) -> Result[Report, CommandError]:
    """Resume the paused move NAME."""
    return await _set_state(session, name, "run", options)


@move.command("abort")
@click.argument("name")
@run_command
@with_change_options
async def abort_move(
    session: Session, *, name: str, options: ChangeOptions
) -> Result[Report, CommandError]:
    """Return all traffic of the move NAME to its old group at once.

    The move stays in the configuration until it is deleted: wagtailpoint delete move/NAME.
    """
    return await _set_state(session, name, "abort", options)


@move.command("finish")
@click.argument("name")
@run_command
@with_change_options
async def finish_move(
    session: Session, *, name: str, options: ChangeOptions
) -> Result[Report, CommandError]:
    """Assign the workspace to its new group and delete the move NAME, in one change.

    Deleting the move in a change of its own would send the traffic back in between, as the
    workspace would still refer to its old group.
    """

    def edit(objects: Mapping[str, Any]) -> Result[Edit, InvalidInput]:
        found = _find_object(objects, "move", name)
        if isinstance(found, Err):
            return found
        plan = found.ok_value
        key = f"workspace/{plan['workspace']}"
        source = objects[key]
        body = objects[f"template/{source['template']}"]["workspace"]
        group = body["groups"][plan["service"]]
        if not (group.startswith("${") and group.endswith("}")):
            expected = (
                f"a template parameter that can be set to {plan['to_group']!r}; change the template"
            )
            return Err(wrong_input(f"{key}: groups.{plan['service']}", group, expected))
        parameters = source.get("parameters", {}) | {group[2:-1]: plan["to_group"]}
        puts = {key: source | {"parameters": parameters}}
        return Ok(Edit(puts, [f"move/{name}"], f"finish move/{name}"))

    return await change(session, edit, options)


@drain.command("start")
@click.argument("name")
@click.option("--backend-server", type=AddressType(), metavar="ADDRESS:PORT")
@click.option("--failure-domain")
@run_command
@with_change_options
async def start_drain(
    session: Session,
    *,
    name: str,
    backend_server: EntryAddress | None,
    failure_domain: str | None,
    options: ChangeOptions,
) -> Result[Report, CommandError]:
    """Start the drain NAME of one backend server or one failure domain."""
    value: dict[str, Any] = {}
    if backend_server:
        value["backend_server"] = backend_server._asdict()
    if failure_domain:
        value["failure_domain"] = failure_domain

    def edit(objects: Mapping[str, Any]) -> Result[Edit, InvalidInput]:
        if f"drain/{name}" in objects:
            return Err(wrong_input("NAME", name, "a name that no drain has yet"))
        return Ok(Edit({f"drain/{name}": value}, (), f"start drain/{name}"))

    return await change(session, edit, options)


@drain.command("stop")
@click.argument("name")
@run_command
@with_change_options
async def stop_drain(
    session: Session, *, name: str, options: ChangeOptions
) -> Result[Report, CommandError]:
    """Stop the drain NAME, so that its backend servers receive new requests again."""

    def edit(objects: Mapping[str, Any]) -> Result[Edit, InvalidInput]:
        found = _find_object(objects, "drain", name)
        return found.map(lambda _: Edit({}, [f"drain/{name}"], f"stop drain/{name}"))

    return await change(session, edit, options)


@move.command("show")
@run_command
async def show_moves(session: Session) -> Result[Report, CommandError]:
    """Show the current step of each move as known to each instance."""
    return await _show_section(session, "moves", _MOVE_FIELDS)


@drain.command("show")
@run_command
async def show_drains(session: Session) -> Result[Report, CommandError]:
    """Show how many requests are still in flight at the backend servers of each drain."""
    return await _show_section(session, "drains", _DRAIN_FIELDS)


async def _set_state(
    session: Session, name: str, state: str, options: ChangeOptions
) -> Result[Report, CommandError]:
    def edit(objects: Mapping[str, Any]) -> Result[Edit, InvalidInput]:
        found = _find_object(objects, "move", name)
        puts = found.map(lambda plan: {f"move/{name}": plan | {"state": state}})
        return puts.map(lambda put: Edit(put, (), f"{state} move/{name}"))

    return await change(session, edit, options)


def _find_object(objects: Mapping[str, Any], kind: str, name: str) -> Result[Any, InvalidInput]:
    mistakes: list[Mistake] = []
    key = f"{kind}/{name}"
    known = [known_key for known_key in objects if known_key.startswith(f"{kind}/")]
    if check_reference(path="NAME", given=key, known=known, what=f"a {kind}", mistakes=mistakes):
        return Ok(objects[key])
    return Err(InvalidInput(mistakes))


def _current_group(objects: Mapping[str, Any], workspace: str, service: str) -> str:
    """Return the group that serves the workspace.

    It is empty if it can't be determined; the check of the whole configuration refuses that.
    """
    compiled = compile_config(version=1, objects=objects)
    if isinstance(compiled, Err) or workspace not in compiled.ok_value.workspaces:
        return ""
    return compiled.ok_value.workspaces[workspace].groups.get(service, "")


async def _show_section(
    session: Session, section: str, fields: Sequence[str]
) -> Result[Report, CommandError]:
    first = await session.ask_any("/v1/status")
    if isinstance(first, Err):
        return first
    seen = [member.entry for member in read_members(first.ok_value) if member.must_enforce]
    entries = list(dict.fromkeys([*session.profile.entries, *seen]))
    answers = await session.ask_all(entries, "/v1/status")
    found: list[Mapping[str, Any]] = []
    missing = []
    for entry, answer in answers.items():
        if isinstance(answer, Ok):
            found += _read_section(entry, answer.ok_value, section)
        else:
            missing.append(answer.err_value.reason)
    found.sort(key=lambda item: (str(item.get("name")), str(item.get("instance"))))
    rows = [[item.get(field) for field in ("instance", *fields)] for item in found]
    headers = ["instance", *(field.replace("_", " ") for field in fields)]
    lines = [format_table(headers, rows) if rows else f"no {section}"]
    lines += [f"no answer from {reason}" for reason in sorted(missing)]
    return Ok(Report("\n".join(lines), {section: found, "missing": sorted(missing)}))


def _read_section(entry: EntryAddress, status: Any, section: str) -> list[Mapping[str, Any]]:
    listed = status.get(section) if isinstance(status, dict) else None
    items = listed if isinstance(listed, list) else []
    return [{**item, "instance": str(entry)} for item in items if isinstance(item, dict)]
