"""Runs simulated days of a whole deployment with several seeds, and compares two such rounds.

    python -m bench.rounds play PROGRAM SITE --day trouble-1 --seeds 3 --out DIR --why WHY
    python -m bench.rounds show DIR
    python -m bench.rounds compare BEFORE AFTER
    python -m bench.rounds plot DIR [DIR ...] --to PLOT.png

PROGRAM simulates one day (``PROGRAM run SITE DAY --seed N --report FILE``) and is not part of this
repository. Two versions of the sources are compared over the same days and seeds; the standard
error of the mean difference tells how much of the difference may be random variation.
"""

import math
import subprocess
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from statistics import mean, stdev
from typing import Any, NamedTuple

import click
import msgspec

FIRST_SEED = 1001
"""The first seed after 0; 0 stands for the seed that the day itself defines."""


class Play(NamedTuple):
    """One run of a day.

    Attributes:
        day: The name of the day.
        seed: The random seed; 0 for the seed that the day defines.
    """

    day: str
    seed: int

    @property
    def file_name(self) -> str:
        """The name of the report file within the folder of the round."""
        return f"{Path(self.day).stem}.{self.seed}.json"


class Report(NamedTuple):
    """The results of one run of a day.

    Attributes:
        worth: The score of the day: earnings minus prices, as a fraction of the maximum.
        parts: The components of the worth by name, and the sum of all prices.
        by_class: Worth by kind of request.
        by_domain: Worth by failure domain of the callers.
        by_window: Worth by window of two seconds.
        broken: The names of the rules that were violated.
    """

    worth: float
    parts: Mapping[str, float]
    by_class: Mapping[str, float]
    by_domain: Mapping[str, float]
    by_window: Mapping[str, float]
    broken: Sequence[str]


def read_report(path: Path) -> Report:
    """Read the report of one run."""
    document: dict[str, Any] = msgspec.json.decode(path.read_bytes())
    totals = document["all"]
    sent = max(1, totals["n"])
    parts = {name: value for name, _weight, value in document["parts"]}
    parts["in time"] = totals["in_aim"] / sent
    parts["late"] = totals["late"] / sent
    parts["refused"] = totals["refused"] / sent
    parts["failed"] = totals["failed"] / sent
    prices = {name: loss for name, _amount, loss in document["prices"]}
    parts["prices"] = sum(prices.values())
    for name, loss in prices.items():
        if loss >= 0.003:
            parts[f"  {name}"] = loss

    def worth_by_name(group: str) -> dict[str, float]:
        return {each["name"]: each["worth"] for each in document[group]}

    return Report(
        document["G"],
        parts,
        worth_by_name("classes"),
        worth_by_name("zones"),
        worth_by_name("windows"),
        sorted(document["breaks"]),
    )


def read_round(folder: Path) -> dict[Play, Report]:
    """Read all reports in the folder of a round."""
    found = {}
    for path in sorted(folder.glob("*.json")):
        day, seed = path.stem.rsplit(".", 1)
        found[Play(day, int(seed))] = read_report(path)
    return found


def compute_means(reports: Iterable[Report], group: str) -> dict[str, float]:
    """Return the mean over several reports of each value in one group (a field of `Report`)."""
    values: dict[str, list[float]] = defaultdict(list)
    for report in reports:
        for name, value in getattr(report, group).items():
            values[name].append(value)
    return {name: mean(found) for name, found in values.items()}


def describe(plays: Mapping[Play, Report]) -> list[str]:
    """Return table lines: the worth of each day over its seeds, then the parts over all runs."""
    by_day: dict[str, list[Report]] = defaultdict(list)
    for play, report in plays.items():
        by_day[play.day].append(report)
    lines = []
    for day, reports in by_day.items():
        worths = [report.worth for report in reports]
        spread = stdev(worths) if len(worths) > 1 else 0.0
        listed = " ".join(f"{worth:.3f}" for worth in worths)
        lines.append(f"{day:28} worth {mean(worths):.3f} spread {spread:.3f}  ({listed})")
    lines.append(f"{'mean of all':28} worth {mean(r.worth for r in plays.values()):.3f}")
    for group in ("parts", "by_class", "by_domain"):
        for name, value in compute_means(plays.values(), group).items():
            lines.append(f"    {name:24} {value:.3f}")
    for play, report in plays.items():
        if report.broken:
            lines.append(f"BROKEN {play.day} seed {play.seed}: {', '.join(report.broken)}")
    return lines


def compare_rounds(before: Mapping[Play, Report], after: Mapping[Play, Report]) -> list[str]:
    """Return table lines: the differences on the days and seeds that both rounds contain."""
    common = [play for play in before if play in after]
    differences = [after[play].worth - before[play].worth for play in common]
    lines = []
    by_day: dict[str, list[Play]] = defaultdict(list)
    for play in common:
        by_day[play.day].append(play)
    for day, plays in by_day.items():
        was, is_now = (mean(reports[play].worth for play in plays) for reports in (before, after))
        lines.append(f"{day:28} {was:.3f} -> {is_now:.3f}  {is_now - was:+.3f}")
    error = stdev(differences) / math.sqrt(len(differences)) if len(differences) > 1 else 0.0
    lines.append(
        f"{'mean':28} {mean(differences):+.4f} "
        f"(standard error {error:.4f}, {len(common)} plays)"
    )
    for group in ("parts", "by_class", "by_domain"):
        was_all = compute_means((before[play] for play in common), group)
        now_all = compute_means((after[play] for play in common), group)
        for name, now in now_all.items():
            was = was_all.get(name, 0.0)
            lines.append(f"    {name:24} {was:.3f} -> {now:.3f}  {now - was:+.3f}")
    for play in common:
        if after[play].broken:
            lines.append(f"BROKEN {play.day} seed {play.seed}: {', '.join(after[play].broken)}")
    return lines


@click.group()
def main() -> None:
    """Measure and compare versions of the sources over the same days and seeds."""


@main.command("play")
@click.argument("program", type=click.Path(exists=True, path_type=Path))
@click.argument("site", type=click.Path(exists=True, path_type=Path))
@click.option("--day", "days", multiple=True, required=True, help="A day to run; may be repeated.")
@click.option(
    "--seeds",
    type=click.IntRange(min=1),
    default=3,
    help="Seeds per day, the first being the day's own.",
)
@click.option("--jobs", type=click.IntRange(min=1), default=4, help="Runs at the same time.")
@click.option(
    "--out", type=click.Path(path_type=Path), required=True, help="Folder for the reports."
)
@click.option("--why", required=True, help="Reason for the round, for PROGRAM's journal.")
@click.option(
    "--no-cpu", is_flag=True, help="Ignore processor time, so that runs are reproducible."
)
def play_command(
    *,
    program: Path,
    site: Path,
    days: Sequence[str],
    seeds: int,
    jobs: int,
    out: Path,
    why: str,
    no_cpu: bool,
) -> None:
    """Run days with several seeds each, and write their reports."""
    out.mkdir(parents=True, exist_ok=True)
    subprocess.run([program, "build"], check=True, capture_output=True)
    plays = [
        Play(day, FIRST_SEED + number - 1 if number else 0)
        for number in range(seeds)
        for day in days
    ]

    def play_one(play: Play) -> None:
        command: list[str | Path] = [program, "run", site, play.day, "--why", why]
        command += ["--report", out / play.file_name]
        if play.seed:
            command += ["--seed", str(play.seed)]
        if no_cpu:
            command.append("--no-cpu")
        played = subprocess.run(command, capture_output=True, text=True)
        (out / play.file_name).with_suffix(".txt").write_text(played.stdout + played.stderr)

    with ThreadPoolExecutor(jobs) as pool:
        list(pool.map(play_one, plays))
    click.echo("\n".join(describe(read_round(out))))


@main.command("show")
@click.argument("folder", type=click.Path(exists=True, path_type=Path))
def show_command(*, folder: Path) -> None:
    """Print means, spreads and parts of a round."""
    click.echo("\n".join(describe(read_round(folder))))


@main.command("compare")
@click.argument("before", type=click.Path(exists=True, path_type=Path))
@click.argument("after", type=click.Path(exists=True, path_type=Path))
def compare_command(*, before: Path, after: Path) -> None:
    """Print the differences between two rounds."""
    click.echo("\n".join(compare_rounds(read_round(before), read_round(after))))


@main.command("plot")
@click.argument("folders", nargs=-1, required=True, type=click.Path(exists=True, path_type=Path))
@click.option("--to", type=click.Path(path_type=Path), required=True, help="The PNG file to write.")
def plot_command(*, folders: Sequence[Path], to: Path) -> None:
    """Plot the worth per window of two seconds for each day, one line per round."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    rounds = {folder.name: read_round(folder) for folder in folders}
    days = sorted({play.day for found in rounds.values() for play in found})
    figure, axes = pyplot.subplots(len(days), 1, figsize=(9, 2.2 * len(days)), squeeze=False)
    for axis, day in zip(axes[:, 0], days, strict=True):
        for name, found in rounds.items():
            reports = [report for play, report in found.items() if play.day == day]
            windows = compute_means(reports, "by_window")
            seconds = sorted(windows, key=float)
            axis.plot(
                [float(text) for text in seconds], [windows[text] for text in seconds], label=name
            )
        axis.set_title(day, fontsize=9)
        axis.set_ylim(0, 1)
    axes[0, 0].legend(fontsize=8)
    axes[-1, 0].set_xlabel("seconds")
    figure.tight_layout()
    figure.savefig(to)


if __name__ == "__main__":
    main()
