"""`python -m bench.soak`: runs soaks by hand."""

import signal
import sys
import time

import click
import trio

from bench.soak.schedule import (
    FAULTS,
    FaultKind,
    Step,
    draw_backend_faults,
    draw_schedule,
)
from bench.soak.soak import Report, run_soak


@click.command()
@click.option("--seed", type=int, help="Of the first run; drawn if left out.")
@click.option("--runs", type=click.IntRange(min=1), default=1, help="Runs, one seed each.")
@click.option("--for", "seconds", type=click.FloatRange(min=1), default=60.0, help="Seconds a run.")
@click.option("--instances", type=click.IntRange(min=1, max=60), default=5)
@click.option("--faults", type=click.Choice(FAULTS), multiple=True, help="Only these faults.")
@click.option("--slack", type=click.FloatRange(min=1), default=1.0, help="Times the bounds.")
@click.option("--show", is_flag=True, help="Print the schedule of each run.")
def main(
    seed: int | None,
    runs: int,
    seconds: float,
    instances: int,
    faults: tuple[FaultKind, ...],
    slack: float,
    show: bool,
) -> None:
    """Run real instances under faults drawn from a seed, and check what callers see."""
    # The instances are ended on the way out, which a plain SIGTERM would not take.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    first = seed if seed is not None else time.time_ns() % 1_000_000
    failed = []
    for number in range(first, first + runs):
        steps = draw_schedule(
            seed=number, seconds=seconds, instances=instances, faults=faults or FAULTS
        )
        if not faults:
            steps = sorted([*steps, *draw_backend_faults(seed=number, seconds=seconds)])
        if show:
            for step in steps:
                click.echo(f"  {step}")
        report = trio.run(_run, number, steps, seconds, instances, slack)
        click.echo(
            f"seed {number}: {len(steps)} steps, {report.asked} requests, "
            f"statuses {dict(sorted(report.statuses.items()))}, {len(report.found)} findings"
        )
        for found in report.found[:20]:
            click.echo(f"  {found}")
        if report.found:
            failed.append(number)
    click.echo(f"{runs} runs, seeds with findings: {failed or 'none'}")
    sys.exit(1 if failed else 0)


async def _run(
    seed: int, steps: list[Step], seconds: float, instances: int, slack: float
) -> Report:
    return await run_soak(seed=seed, steps=steps, seconds=seconds, instances=instances, slack=slack)


if __name__ == "__main__":
    main()
