"""The program ``wagtailpointd``."""

import sys
from pathlib import Path

import click
import trio
from result import Err

from wagtailpoint.daemon.instance import run_instance
from wagtailpoint.observe.log import configure_log
from wagtailpoint.settings import read_settings

EXIT_WRONG_SETTINGS = 2


@click.command()
@click.option(
    "--settings",
    "settings_file",
    required=True,
    type=click.Path(path_type=Path),
    help="The JSON file with the settings of this instance.",
)
@click.option("--check", is_flag=True, help="Only check the settings; print every mistake.")
def main(settings_file: Path, check: bool) -> None:
    """Run one wagtailpoint instance until SIGTERM, then stop gracefully.

    Exit codes: 0 after a graceful stop or a check without mistakes, 2 for wrong settings.
    """
    settings = read_settings(settings_file)
    if isinstance(settings, Err):
        for mistake in settings.err_value.mistakes:
            click.echo(str(mistake), err=True)
        sys.exit(EXIT_WRONG_SETTINGS)
    if check:
        click.echo(f"{settings_file}: no mistakes")
        return
    value = settings.ok_value
    configure_log(level=value.log_level, instance=f"{value.address}:{value.port}")
    trio.run(run_instance, value)


if __name__ == "__main__":
    main()
