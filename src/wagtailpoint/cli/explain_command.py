"""The command that explains where an instance would send a request."""

from collections.abc import Mapping
from typing import Any
from urllib.parse import urlencode

import click
from result import Err, Result

from wagtailpoint.cli.failures import CommandError, wrong_input
from wagtailpoint.cli.options import run_command
from wagtailpoint.cli.output import Report, format_cell, format_table
from wagtailpoint.cli.session import Session

_COLUMNS = (
    "server_id",
    "failure_domain",
    "rank",
    "outcome",
    "occupancy",
    "slots",
    "report_age_s",
    "expected_s",
    "cached",
)


@click.command()
@click.option("--host", required=True, help="Host name of the request.")
@click.option("--path", required=True, help="Path of the request, with its query if it has one.")
@click.option("--key", default="", help="Affinity key of the request.")
@click.option("--workspace", default="", help="Name of the caller's workspace.")
@run_command
async def explain(
    session: Session, *, host: str, path: str, key: str, workspace: str
) -> Result[Report, CommandError]:
    """Show where an instance would send a request now, and why.

    --entry names the metrics endpoint of an instance on the users' platform. Nothing is sent to
    backend servers or counted.
    """
    if not host.strip() or any(letter in host for letter in "/ ?#@"):
        return Err(wrong_input("--host", host, 'a host name such as "files.example"'))
    if not path.startswith("/"):
        return Err(wrong_input("--path", path, 'a path such as "/read/1"'))
    query = urlencode({"host": host, "path": path, "key": key, "workspace": workspace})
    answer = await session.ask_any(f"/explain?{query}")
    return answer.map(lambda document: Report(_format(document), document))


def _format(document: Any) -> str:
    if not isinstance(document, dict):
        return format_cell(document)
    head = [
        f"{name}: {format_cell(value)}" for name, value in document.items() if name != "services"
    ]
    listed = document.get("services", [])
    sections = [_format_service(each) for each in listed if isinstance(each, dict)]
    return "\n\n".join(["\n".join(head), *sections])


def _format_service(service: Mapping[str, Any]) -> str:
    head = " ".join(
        f"{name}={format_cell(value)}" for name, value in service.items() if name != "candidates"
    )
    candidates = [each for each in service.get("candidates", []) if isinstance(each, dict)]
    rows = [[each.get(column) for column in _COLUMNS] for each in candidates]
    return f"{head}\n{format_table(_COLUMNS, rows)}"
