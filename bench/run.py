"""The bench: `python -m bench.run short|full`. Each module in this folder measures one thing.

A module has ``run(short: bool) -> list[str]``, which returns the lines of its table and raises
``AssertionError`` when one of its bounds is broken. It may also have ``figures()``, which returns
what its last run measured as ``{panel: {label: value}}``; the full bench draws that.
"""

import importlib
import importlib.util
import json
import sys
import time
from collections.abc import Mapping, Sequence
from pathlib import Path
from types import ModuleType
from typing import NamedTuple

MODULES = (
    "lookup",
    "keys",
    "membership",
    "config_spread",
    "classes",
    "hedging",
    "locality",
    "placement",
    "moves",
    "entry",
    "capacity",
    "backend_connections",
)
RESULTS = Path(__file__).parent / "results"

Figures = Mapping[str, Mapping[str, float]]


class ModuleResult(NamedTuple):
    """What became of one module.

    Attributes:
        name: The module.
        lines: Its table.
        figures: What it measured, for the plot.
        took_s: How long it ran, in seconds.
        broken: The bound that it broke, None if all held.
    """

    name: str
    lines: list[str]
    figures: Figures
    took_s: float
    broken: str | None


def find_modules(names: Sequence[str] = MODULES) -> list[ModuleType]:
    """The modules of the bench that exist and can be run."""
    found = [
        importlib.import_module(f"bench.{name}")
        for name in names
        if importlib.util.find_spec(f"bench.{name}") is not None
    ]
    return [module for module in found if hasattr(module, "run")]


def measure(module: ModuleType, *, short: bool) -> ModuleResult:
    """Run one module; a broken bound is reported, not raised, so that the others run too."""
    started_at = time.monotonic()
    lines: list[str] = []
    broken = None
    try:
        lines = module.run(short)
    except AssertionError as error:
        broken = str(error) or repr(error)
    figures = module.figures() if hasattr(module, "figures") else {}
    name = module.__name__.rpartition(".")[2]
    return ModuleResult(name, lines, figures, time.monotonic() - started_at, broken)


def write_results(result: ModuleResult, directory: Path) -> None:
    """Write what one module measured: its table and figures as JSON, and a plot if it has any."""
    directory.mkdir(exist_ok=True)
    text = json.dumps(result._asdict(), indent=2)
    (directory / f"{result.name}.json").write_text(text + "\n")
    if result.figures:
        write_plot(result.figures, directory / f"{result.name}.png")


def write_plot(panels: Figures, path: Path) -> None:
    """Write a plot with a panel of bars for each group of figures."""
    # Imported late: it takes a second, which the short bench need not spend.
    from matplotlib.figure import Figure

    figure = Figure(figsize=(5.0 * len(panels), 4.0), layout="constrained")
    for place, (title, bars) in enumerate(panels.items(), start=1):
        axes = figure.add_subplot(1, len(panels), place)
        axes.barh(list(bars), list(bars.values()))
        axes.invert_yaxis()
        axes.set_title(title)
    figure.savefig(path)


def main(arguments: Sequence[str]) -> int:
    """Run every module.

    Returns:
        1 if a bound is broken, else 0.
    """
    if list(arguments) not in (["short"], ["full"]):
        print(f"given {' '.join(arguments)!r}, expected short or full", file=sys.stderr)
        return 2
    short = list(arguments) == ["short"]
    exit_code = 0
    for module in find_modules():
        result = measure(module, short=short)
        print(f"--- bench {result.name} ({result.took_s:.1f} s)")
        print("\n".join(result.lines))
        if result.broken is not None:
            print(f"BROKEN BOUND in bench {result.name}: {result.broken}")
            exit_code = 1
        if not short:
            write_results(result, RESULTS)
    return exit_code


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
