"""Runs soak tests from the command line: `python -m bench.soak`."""

import signal
import sys
import time
from collections.abc import Sequence
from pathlib import Path

import click
import trio

from bench.soak.deployment import FAILURE_DOMAINS
from bench.soak.schedule import (
    FAULTS,
    LOADS,
    AnyStep,
    FaultKind,
    Load,
    draw_all,
    draw_loads,
    draw_schedule,
)
from bench.soak.soak import Report, run_soak


@click.command()
@click.option("--seed", type=int, help="Seed of the first run; random if omitted.")
@click.option(
    "--runs", type=click.IntRange(min=1), default=1, help="Number of runs, with consecutive seeds."
)
@click.option(
    "--for",
    "seconds",
    type=click.FloatRange(min=1),
    default=60.0,
    help="Seconds of faults per run.",
)
@click.option("--instances", type=click.IntRange(min=1, max=150), default=5)
@click.option(
    "--faults",
    type=click.Choice(FAULTS),
    multiple=True,
    help="Only inject these faults; may be repeated.",
)
@click.option(
    "--load",
    "loads",
    type=click.Choice(LOADS),
    multiple=True,
    help="Add backend servers that share their machines, or workspaces of which one floods.",
)
@click.option(
    "--slack", type=click.FloatRange(min=1), default=1.0, help="Factor on all time bounds."
)
@click.option(
    "--logs",
    type=click.Path(file_okay=False, path_type=Path),
    help="Folder in which the logs of the instances are kept.",
)
@click.option("--show", is_flag=True, help="Print the schedule of each run.")
def main(
    seed: int | None,
    runs: int,
    seconds: float,
    instances: int,
    faults: tuple[FaultKind, ...],
    loads: tuple[Load, ...],
    slack: float,
    logs: Path | None,
    show: bool,
) -> None:
    """Run real instances under faults drawn from a seed, and check the answers of callers."""
    # SIGTERM must raise an exception, as by default it would leave the instances running.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    first = seed if seed is not None else time.time_ns() % 1_000_000
    failed = []
    for number in range(first, first + runs):
        steps: Sequence[AnyStep]
        if faults:
            steps = draw_schedule(seed=number, seconds=seconds, instances=instances, faults=faults)
        else:
            steps = draw_all(
                seed=number,
                seconds=seconds,
                instances=instances,
                domains=len(FAILURE_DOMAINS),
            )
        more = draw_loads(seed=number, seconds=seconds, instances=instances, loads=loads)
        steps = sorted([*steps, *more], key=lambda step: step.at_s)
        if show:
            for step in steps:
                click.echo(f"  {step}")
        report = trio.run(_run, number, steps, seconds, instances, loads, slack, logs)
        click.echo(
            f"seed {number}: {len(steps)} steps, {report.sent} requests, "
            f"statuses {dict(sorted(report.statuses.items()))}, {len(report.violations)} findings"
        )
        click.echo(f"  {report.stops}")
        for violation in report.violations[:20]:
            click.echo(f"  {violation}")
        if report.violations:
            failed.append(number)
    click.echo(f"{runs} runs, seeds with findings: {failed or 'none'}")
    sys.exit(1 if failed else 0)


async def _run(
    seed: int,
    steps: Sequence[AnyStep],
    seconds: float,
    instances: int,
    loads: Sequence[Load],
    slack: float,
    logs: Path | None,
) -> Report:
    return await run_soak(
        seed=seed,
        steps=steps,
        seconds=seconds,
        instances=instances,
        loads=loads,
        slack=slack,
        logs=logs,
    )


if __name__ == "__main__":
    main()
