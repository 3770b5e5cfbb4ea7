"""Commands for quarantined requests: those that are refused as they crash backend servers."""

from collections.abc import Mapping

import click
from result import Err, Ok, Result

from wagtailpoint.cli.failures import CommandError, wrong_input
from wagtailpoint.cli.options import run_command
from wagtailpoint.cli.output import Report, format_table
from wagtailpoint.cli.profile import AddressType, EntryAddress
from wagtailpoint.cli.session import Session
from wagtailpoint.errors import InvalidInput, PlatformUnavailable
from wagtailpoint.node_settings import Endpoint
from wagtailpoint.ports.platform import Conflict, Platform, StoredObject
from wagtailpoint.quarantine.quarantine import CrashReport
from wagtailpoint.quarantine.stored import KIND, decode_report

_store_option = click.option(
    "--store",
    type=AddressType(),
    metavar="ADDRESS:PORT",
    help="Object store of a deployment on the users' platform, instead of --platform.",
)


@click.group()
def quarantine() -> None:
    """Show and lift the quarantine of requests that crash backend servers."""


@quarantine.command("list")
@_store_option
@run_command
async def list_quarantined(
    session: Session, *, store: EntryAddress | None
) -> Result[Report, CommandError]:
    """Show the quarantined requests and the backend servers that each has crashed."""
    async with session.open_objects(_endpoint(store)) as opened:
        listed = await _list_quarantined_objects(opened)
    if isinstance(listed, Err):
        return listed
    reports = [report for stored in listed.ok_value.values() if (report := decode_report(stored))]
    data = {"quarantined": [_report_data(report) for report in reports]}
    return Ok(Report(_format_reports(reports), data))


@quarantine.command()
@click.argument("digests", nargs=-1, required=True, metavar="DIGEST...")
@_store_option
@run_command
async def lift(
    session: Session, *, digests: tuple[str, ...], store: EntryAddress | None
) -> Result[Report, CommandError]:
    """Lift the quarantine of requests, for example after the service was fixed.

    DIGEST identifies a request, as shown by the list and by the logs of the instances.
    """
    async with session.open_objects(_endpoint(store)) as opened:
        listed = await _list_quarantined_objects(opened)
        if isinstance(listed, Err):
            return listed
        unknown = [digest for digest in digests if digest not in listed.ok_value]
        if unknown:
            expected = "a digest that `wagtailpoint quarantine list` shows"
            return Err(wrong_input("DIGEST", ", ".join(unknown), expected))
        for digest in digests:
            version = listed.ok_value[digest].version
            removed = await opened.unwrap().delete(kind=KIND, name=digest, if_version=version)
            if isinstance(removed, Err) and not isinstance(removed.err_value, Conflict):
                return Err(removed.err_value)
    return Ok(Report(f"lifted {', '.join(digests)}", {"lifted": list(digests)}))


def _endpoint(store: EntryAddress | None) -> Endpoint | None:
    return Endpoint(store.address, store.port) if store is not None else None


async def _list_quarantined_objects(
    opened: Result[Platform, InvalidInput],
) -> Result[Mapping[str, StoredObject], InvalidInput | PlatformUnavailable]:
    """List the stored objects of quarantined requests by name, or return the error of opening."""
    if isinstance(opened, Err):
        return opened
    listing = await opened.ok_value.list(kind=KIND)
    return listing.map(lambda found: {stored.name: stored for stored in found.objects})


def _format_reports(reports: list[CrashReport]) -> str:
    if not reports:
        return "no request is quarantined"
    rows = [
        [report.fingerprint, report.method, report.host, report.target, _format_servers(report)]
        for report in reports
    ]
    return format_table(["digest", "method", "host", "target", "crashed"], rows)


def _report_data(report: CrashReport) -> dict[str, object]:
    return {
        "digest": report.fingerprint,
        "method": report.method,
        "host": report.host,
        "target": report.target,
        "crashed": [start.server_id for start in report.starts],
    }


def _format_servers(report: CrashReport) -> str:
    return ",".join(start.server_id for start in report.starts)
