"""Runs the benches: `python -m bench.run short|full`. Each bench is a module of this folder.

A bench module has ``run(short: bool) -> list[str]``, which returns the lines of its table and
raises ``AssertionError`` when one of its bounds is exceeded. It may also have ``figures()``, which
returns the results of its last run as ``{panel: {label: value}}`` for the plot of the full bench.
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
    "choices",
    "moves",
    "moves_by_change",
    "key_policies",
    "fraction_moves",
    "entry",
    "capacity",
    "backend_connections",
)
RESULTS = Path(__file__).parent / "results"

Figures = Mapping[str, Mapping[str, float]]


class ModuleResult(NamedTuple):
    """The result of one bench module.

    Attributes:
        name: The name of the module, without its package.
        lines: The lines of its table.
        figures: The measured values, for the plot.
        took_s: The duration of the run in seconds.
        broken: The message of the exceeded bound; None if all bounds held.
    """

    name: str
    lines: list[str]
    figures: Figures
    took_s: float
    broken: str | None


def find_modules(names: Sequence[str] = MODULES) -> list[ModuleType]:
    """Return the named bench modules that exist and have a ``run`` function."""
    found = [
        importlib.import_module(f"bench.{name}")
        for name in names
        if importlib.util.find_spec(f"bench.{name}") is not None
    ]
    return [module for module in found if hasattr(module, "run")]


def measure(module: ModuleType, *, short: bool) -> ModuleResult:
    """Run one module; return an exceeded bound in the result, so that other modules still run."""
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
    """Write the table and figures of one module as JSON, and a plot if it has figures."""
    directory.mkdir(exist_ok=True)
    text = json.dumps(result._asdict(), indent=2)
    (directory / f"{result.name}.json").write_text(text + "\n")
    if result.figures:
        write_plot(result.figures, directory / f"{result.name}.png")


def write_plot(panels: Figures, path: Path) -> None:
    """Write a PNG plot with one panel of bars for each group of figures."""
    # The import takes a second, so the short bench, which draws nothing, avoids it.
    from matplotlib.figure import Figure

    figure = Figure(figsize=(5.0 * len(panels), 4.0), layout="constrained")
    for place, (title, bars) in enumerate(panels.items(), start=1):
        axes = figure.add_subplot(1, len(panels), place)
        axes.barh(list(bars), list(bars.values()))
        axes.invert_yaxis()
        axes.set_title(title)
    figure.savefig(path)


def main(arguments: Sequence[str]) -> int:
    """Run every bench module.

    Returns:
        The exit code: 0, 1 if a bound is exceeded, or 2 for a wrong argument.
    """
    if list(arguments) not in (["short"], ["full"]):
        print(
            f"invalid arguments: given {' '.join(arguments)!r}, expected short or full",
            file=sys.stderr,
        )
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
