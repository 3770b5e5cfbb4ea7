"""Command line of ``wagtailpointd``."""

import faulthandler
import gc
import os
import signal
import sys
from pathlib import Path
from typing import NoReturn

import click
import trio
from result import Err

from wagtailpoint.errors import InvalidInput
from wagtailpoint.observe.log import configure_log, log_event
from wagtailpoint.platform.settings import SETTINGS_VARIABLE, read_node_settings

EXIT_INVALID_SETTINGS = 2


@click.command()
@click.option(
    "--settings",
    "settings_file",
    type=click.Path(path_type=Path),
    help="The JSON file with the settings of this instance.",
)
@click.option("--check", is_flag=True, help="Only check the settings; print every mistake.")
def main(settings_file: Path | None, check: bool) -> None:
    """Run one wagtailpoint instance until SIGTERM, then stop gracefully.

    Without --settings the platform's own settings file is read, whose path it passes in the
    environment.

    Exit codes: 0 after a graceful stop or a check without mistakes, 2 for wrong settings.
    """
    # Writes the stacks of all threads to standard error at a fatal signal.
    faulthandler.enable()
    if settings_file is not None:
        _run_from_settings(settings_file, check)
    elif SETTINGS_VARIABLE in os.environ:
        _run_on_platform(Path(os.environ[SETTINGS_VARIABLE]), check)
    else:
        raise click.UsageError(f"given neither --settings nor {SETTINGS_VARIABLE}")


def _run_from_settings(settings_file: Path, check: bool) -> None:
    # Imported here because an instance on the platform does not need these modules, and starts in
    # half the time without them.
    from wagtailpoint.daemon.instance import run_instance
    from wagtailpoint.settings import read_settings

    _end_imports()
    settings = read_settings(settings_file)
    if isinstance(settings, Err):
        _exit_with_mistakes(settings.err_value)
    value = settings.ok_value
    if check:
        click.echo(f"{settings_file}: no mistakes")
        return
    configure_log(level=value.log_level, instance=f"{value.address}:{value.port}")
    trio.run(run_instance, value)
    log_event("stopped")


def _run_on_platform(settings_file: Path, check: bool) -> None:
    # The default action would kill a process that is starting, or has completed its stop.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from wagtailpoint.daemon.steering import run_steering_instance

    _end_imports()
    settings = read_node_settings(settings_file)
    if isinstance(settings, Err):
        _exit_with_mistakes(settings.err_value)
    if check:
        click.echo(f"{settings_file}: no mistakes")
        return
    configure_log(level="INFO", instance=settings.ok_value.name)
    trio.run(run_steering_instance, settings.ok_value, settings_file)
    _exit_at_once()


def _end_imports() -> None:
    """Exclude imported objects from garbage collection, which would visit each of them."""
    gc.freeze()
    gc.enable()


def _exit_at_once() -> NoReturn:
    """End the process without the interpreter's clean-up.

    Nothing is left to release, and on a busy machine the clean-up would last until the platform
    kills the process.
    """
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(0)


def _exit_with_mistakes(invalid: InvalidInput) -> NoReturn:
    for mistake in invalid.mistakes:
        click.echo(str(mistake), err=True)
    sys.exit(EXIT_INVALID_SETTINGS)


if __name__ == "__main__":
    main()
