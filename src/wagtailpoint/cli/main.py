"""The command-line tool ``wagtailpoint`` with all its commands."""

import click

from wagtailpoint.cli.config_commands import apply, check, delete, diff, get, history, revert
from wagtailpoint.cli.entry_commands import lookup, status, timeline
from wagtailpoint.cli.explain_command import explain
from wagtailpoint.cli.log_commands import versions
from wagtailpoint.cli.move_commands import drain, move
from wagtailpoint.cli.quarantine_commands import quarantine
from wagtailpoint.cli.session import Tools
from wagtailpoint.cli.workspace_commands import workspace

# "\b" keeps click from rewrapping the paragraph.
_EXIT_CODES = """\b
Exit codes:
  0  done
  1  failed
  2  wrong input; nothing was changed
  3  conflict with a concurrent change; nothing was changed
  4  unknown outcome: check the history before you repeat the change
  5  platform unavailable; nothing was changed
  6  the change was written, but --wait timed out before it was in force everywhere
"""


@click.group(context_settings={"help_option_names": ["-h", "--help"]}, epilog=_EXIT_CODES)
def cli() -> None:
    """Configure and inspect the traffic steering system."""


for _command in (
    apply,
    check,
    delete,
    diff,
    drain,
    explain,
    get,
    history,
    lookup,
    move,
    quarantine,
    revert,
    status,
    timeline,
    versions,
    workspace,
):
    cli.add_command(_command)


def main() -> None:
    """Run the command-line tool."""
    cli(obj=Tools(), prog_name="wagtailpoint")
