"""Commands that query the entries: status, timeline and lookup."""

from collections.abc import Mapping, Sequence
from typing import Any
from urllib.parse import urlencode

import click
from result import Err, Ok, Result

from wagtailpoint.checking import is_ip_number
from wagtailpoint.cli.failures import CommandError, wrong_input
from wagtailpoint.cli.options import run_command
from wagtailpoint.cli.output import Report, format_cell, format_sections, format_table
from wagtailpoint.cli.session import Session
from wagtailpoint.cli.status import read_members

_KNOWN_SECTIONS = ("instance", "config_version", "members")
_KNOWN_EVENT_FIELDS = ("hlc", "instance", "event")


@click.command()
@run_command
async def status(session: Session) -> Result[Report, CommandError]:
    """Show the state of one entry and of the instances that it knows."""
    answer = await session.ask_any("/v1/status")
    if isinstance(answer, Err):
        return answer
    document = answer.ok_value
    if not isinstance(document, dict):
        return Ok(Report(format_cell(document), document))
    rows = [
        [
            str(member.entry),
            member.region,
            member.failure_domain,
            member.state,
            member.config_version,
            member.load,
            member.incarnation,
        ]
        for member in read_members(document)
    ]
    headers = ["instance", "region", "failure domain", "state", "version", "load", "incarnation"]
    rest = {key: value for key, value in document.items() if key not in _KNOWN_SECTIONS}
    text = f"config_version: {document.get('config_version')}\n\n{format_table(headers, rows)}"
    return Ok(Report(f"{text}\n\n{format_sections(rest)}" if rest else text, document))


@click.command()
@click.option("--since", help="Only events after this timestamp (hlc).")
@click.option(
    "--where",
    "wheres",
    multiple=True,
    metavar="FIELD=VALUE",
    help="Only events whose FIELD has this VALUE; may be repeated.",
)
@run_command
async def timeline(
    session: Session, *, since: str | None, wheres: tuple[str, ...]
) -> Result[Report, CommandError]:
    """Show the events of all instances in one timeline.

    Queries the given entries and every instance that they know.
    """
    if any("=" not in where for where in wheres):
        return Err(wrong_input("--where", ", ".join(wheres), "FIELD=VALUE"))
    members = await session.ask_any("/v1/status")
    if isinstance(members, Err):
        return members
    seen = [member.entry for member in read_members(members.ok_value) if member.must_enforce]
    entries = list(dict.fromkeys([*session.profile.entries, *seen]))
    query = f"?{urlencode({'since': since})}" if since else ""
    answers = await session.ask_all(entries, f"/v1/timeline{query}")
    events: list[Mapping[str, Any]] = []
    missing = []
    for answer in answers.values():
        if isinstance(answer, Ok):
            events += _read_events(answer.ok_value)
        else:
            missing.append(answer.err_value.reason)
    wanted = dict(where.split("=", 1) for where in wheres)
    chosen = [event for event in events if _matches(event, wanted)]
    chosen.sort(key=lambda event: (str(event.get("hlc")), str(event.get("instance"))))
    lines = [_format_event(event) for event in chosen]
    lines += [f"no events from {reason}" for reason in sorted(missing)]
    data = {"events": chosen, "missing": sorted(missing)}
    return Ok(Report("\n".join(lines) or "no events", data))


@click.command()
@click.option("--workspace", required=True)
@click.option("--client", required=True, metavar="IP-NUMBER", help="Address of the caller.")
@run_command
async def lookup(session: Session, *, workspace: str, client: str) -> Result[Report, CommandError]:
    """Show the entries that a lookup by a caller of a workspace returns."""
    if not is_ip_number(client):
        return Err(wrong_input("--client", client, 'an IP number such as "10.0.0.7"'))
    query = urlencode({"workspace": workspace, "address": client})
    answer = await session.ask_any(f"/v1/lookup?{query}")
    return answer.map(lambda document: Report(_format_lookup(document), document))


def _read_events(document: Any) -> Sequence[Mapping[str, Any]]:
    events = document.get("events", []) if isinstance(document, dict) else []
    return [event for event in events if isinstance(event, dict)]


def _matches(event: Mapping[str, Any], wanted: Mapping[str, str]) -> bool:
    return all(format_cell(event.get(field)) == value for field, value in wanted.items())


def _format_event(event: Mapping[str, Any]) -> str:
    known = [format_cell(event.get(field)) for field in _KNOWN_EVENT_FIELDS]
    rest = [
        f"{field}={format_cell(value)}"
        for field, value in event.items()
        if field not in _KNOWN_EVENT_FIELDS
    ]
    return " ".join([*known, *rest])


def _format_lookup(document: Any) -> str:
    if not isinstance(document, dict):
        return format_cell(document)
    return format_sections(document)
