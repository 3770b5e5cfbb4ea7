"""Commands that read the logs of instances and need neither entries nor the platform."""

from collections.abc import Sequence
from typing import Any, TextIO

import click
from result import Ok, Result

from wagtailpoint.cli.failures import CommandError
from wagtailpoint.cli.options import run_command
from wagtailpoint.cli.output import Report, format_table
from wagtailpoint.cli.session import Session
from wagtailpoint.observe.log_lines import read_log_lines
from wagtailpoint.observe.version_history import InstanceVersion, VersionHistory, VersionSpread


@click.command()
@click.argument("logs", nargs=-1, required=True, type=click.File(errors="replace"))
@run_command
async def versions(session: Session, *, logs: tuple[TextIO, ...]) -> Result[Report, CommandError]:
    """Show from LOGS when each configuration came into force, and on which instance last.

    A second table shows the version that each instance enforces at the end of the logs. A log may
    contain lines of several instances; "-" reads standard input.
    """
    history = VersionHistory(lines=(line for log in logs for line in read_log_lines(log)))
    spreads, instances = history.versions, history.instances
    newest = spreads[-1].version if spreads else None
    text = f"{_format_spreads(spreads)}\n\n{_format_instances(instances, newest)}"
    data = {
        "versions": [_spread_data(spread) for spread in spreads],
        "instances": [_instance_data(instance, newest) for instance in instances],
    }
    return Ok(Report(text, data))


def _format_spreads(spreads: Sequence[VersionSpread]) -> str:
    rows = [
        [
            str(spread.version),
            spread.instances,
            spread.first.isoformat(timespec="milliseconds"),
            f"{spread.delay_s:.3f}",
            spread.last_instance,
        ]
        for spread in spreads
    ]
    return format_table(["version", "instances", "first in force", "last after s", "last"], rows)


def _format_instances(instances: Sequence[InstanceVersion], newest: int | None) -> str:
    rows = [
        [
            instance.instance,
            instance.version,
            instance.since.isoformat(timespec="milliseconds"),
            "behind" if instance.version != newest else "",
        ]
        for instance in instances
    ]
    return format_table(["instance", "version", "since", ""], rows)


def _spread_data(spread: VersionSpread) -> dict[str, Any]:
    return {
        "version": spread.version,
        "instances": spread.instances,
        "first": spread.first.isoformat(),
        "last": spread.last.isoformat(),
        "last_instance": spread.last_instance,
    }


def _instance_data(instance: InstanceVersion, newest: int | None) -> dict[str, Any]:
    return {
        "instance": instance.instance,
        "version": instance.version,
        "since": instance.since.isoformat(),
        "behind": instance.version != newest,
    }
