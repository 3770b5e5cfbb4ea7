"""Compares the admission of request classes under load with simple rules, in virtual time.

    python -m bench.run full

The bounds are ratios within one run. The same seed gives the same figures.
"""

from collections.abc import Mapping
from typing import Final

from bench.admission_driver import (
    BROCHURE,
    BROWSE,
    CAPACITY_RPS,
    ONE_CLASS_RULES,
    RULES,
    TONIGHT,
    TOTAL_SLOTS,
    Run,
    Stream,
)
from wagtailpoint.admission.ceilings import max_held_slots

MAX_TONIGHT_P99_RATIO: Final = 1.2
MIN_GOODPUT_RATIO: Final = 0.95
MAX_INHERITED_P99_RATIO: Final = 1.05
MIN_CEILING_UTILISATION: Final = 0.9
MAX_LATE_REFUSAL_FRACTION: Final = 0.02
DOWNLOAD_S: Final = 0.5

_figures: dict[str, dict[str, float]] = {}
_broken: list[str] = []


def constant_rate(fraction: float, hold_s: float | None = None):
    """Return a function of time that gives a constant fraction of the capacity, in requests/s."""
    rps = fraction * (CAPACITY_RPS if hold_s is None else TOTAL_SLOTS / hold_s)
    return lambda _now_s: rps


def figures() -> Mapping[str, Mapping[str, float]]:
    """Return the results of the last run, for the plot."""
    return _figures


def run(short: bool) -> list[str]:
    """Run all cases.

    Raises:
        AssertionError: A bound is exceeded.
    """
    _figures.clear()
    _broken.clear()
    factor = 1 if short else 5
    lines = measure_priority(2.0 * factor)
    lines += measure_goodput(1.0 * factor)
    lines += measure_load_step(1 if short else 3)
    lines += measure_inherited_workspace(3.0 * factor)
    lines += measure_ceiling_use(2.0 * factor)
    # Checked at the end, so that an exceeded bound does not hide the rest of the table.
    assert not _broken, "; ".join(_broken) + "\n" + "\n".join(lines)
    return lines


def _check(is_kept: bool, broken: str) -> None:
    if not is_kept:
        _broken.append(broken)


def measure_priority(duration_s: float) -> list[str]:
    """Measure tonight-searches while browsing and brochures each arrive at 1.5 × the capacity."""
    tonight = Stream(TONIGHT, constant_rate(0.3))
    browse = Stream(BROWSE, constant_rate(1.5))
    brochure = Stream(
        BROCHURE, constant_rate(1.5, DOWNLOAD_S), hold_s=DOWNLOAD_S, timeout_s=5.0, long=True
    )
    idle = Run(rule="ours", streams=[tonight], duration_s=duration_s).by_class["tonight"]
    lines = [
        "tonight at 0.3 of capacity, browsing and brochures at 1.5 each",
        "rule   tonight p50/p99 ms  p99/idle refused  browse answered/s  downloads finished/s",
        f"idle   {idle.percentile_ms(50):8.1f} "
        f"{idle.percentile_ms(99):9.1f}     1.00 {idle.refused:8}",
    ]
    bars = _figures.setdefault("tonight p99 ms", {"idle": idle.percentile_ms(99)})
    for rule in RULES:
        results = Run(
            rule=rule, streams=[tonight, browse, brochure], duration_s=duration_s
        ).by_class
        urgent = results["tonight"]
        ratio = urgent.percentile_ms(99) / idle.percentile_ms(99)
        bars[rule] = urgent.percentile_ms(99)
        lines.append(
            f"{rule:6} {urgent.percentile_ms(50):8.1f} "
            f"{urgent.percentile_ms(99):9.1f} {ratio:8.2f} "
            f"{urgent.refused + urgent.timed_out:8} "
            f"{results['browse'].answered / duration_s:18.0f} "
            f"{results['brochure'].answered / duration_s:21.1f}"
        )
    _check(ratio <= MAX_TONIGHT_P99_RATIO, f"tonight p99 is {ratio:.2f} x that of an idle system")
    _check(not urgent.refused, f"{urgent.refused} tonight-searches were refused")
    _check(results["brochure"].answered > 0, "no download finished")
    return lines


def measure_goodput(duration_s: float) -> list[str]:
    """Measure one class at 1 × and 3 × the capacity, with and without callers that retry."""
    lines = [
        "goodput as a fraction of all slot time; ratio: goodput at 3 x to that at 1 x",
        "rule   at 1 x  at 3 x  ratio  at 3 x, retrying  ratio  late refusals  timed out",
    ]
    bars = _figures.setdefault("goodput at 3 x, repeating", {})
    for rule in ONE_CLASS_RULES:
        at_capacity = Run(
            rule=rule,
            streams=[Stream(TONIGHT, constant_rate(1.0), timeout_s=0.25)],
            duration_s=duration_s,
        )
        overloaded = Run(
            rule=rule,
            streams=[Stream(TONIGHT, constant_rate(3.0), timeout_s=0.25)],
            duration_s=duration_s,
        )
        retrying = Stream(TONIGHT, constant_rate(3.0), timeout_s=0.25, retries=2)
        overloaded_retrying = Run(rule=rule, streams=[retrying], duration_s=duration_s)
        ratios = (
            overloaded.goodput_fraction / at_capacity.goodput_fraction,
            overloaded_retrying.goodput_fraction / at_capacity.goodput_fraction,
        )
        results = overloaded_retrying.by_class["tonight"]
        bars[rule] = overloaded_retrying.goodput_fraction
        lines.append(
            f"{rule:6} {at_capacity.goodput_fraction:6.3f} "
            f"{overloaded.goodput_fraction:7.3f} {ratios[0]:6.2f} "
            f"{overloaded_retrying.goodput_fraction:17.3f} "
            f"{ratios[1]:6.2f} {results.late_refusals:14} {results.timed_out:10}"
        )
    _check(min(ratios) >= MIN_GOODPUT_RATIO, f"goodput falls to {min(ratios):.2f} at 3 x load")
    return lines


def measure_load_step(rounds: int) -> list[str]:
    """Measure balance checks whose rate steps from 0.2 to 2 × the capacity and back again."""

    def checks(now_s: float) -> float:
        return CAPACITY_RPS * (2.0 if 1.0 <= now_s < 1.0 + 2.0 * rounds else 0.2)

    duration_s = 2.0 + 2.0 * rounds
    lines = [
        "rent day: balance checks step from 0.2 to 2 x capacity",
        "rule   p50/p99 ms of answers  answered  refused  late refusals  timed out",
    ]
    bars = _figures.setdefault("rent day p99 ms", {})
    for rule in ONE_CLASS_RULES:
        results = Run(rule=rule, streams=[Stream(TONIGHT, checks)], duration_s=duration_s)
        check = results.by_class["tonight"]
        bars[rule] = check.percentile_ms(99)
        lines.append(
            f"{rule:6} {check.percentile_ms(50):8.1f} "
            f"{check.percentile_ms(99):12.1f} {check.answered:9} "
            f"{check.refused:8} {check.late_refusals:14} {check.timed_out:10}"
        )
    late_fraction = check.late_refusals / max(1, check.refused)
    _check(
        late_fraction <= MAX_LATE_REFUSAL_FRACTION,
        f"{late_fraction:.3f} of the refusals came after half the time",
    )
    return lines


def measure_inherited_workspace(duration_s: float) -> list[str]:
    """Compare an inherited and an own workspace at 85 % load, and in a flood from the own one."""
    lines = [
        "inherited against own workspace, p99 ms",
        "rule   at 0.85: own  inherited  ratio   flood by own: own  inherited  inherited refused",
    ]
    both = Stream(TONIGHT, constant_rate(0.85), workspaces=("own", "inherited"))
    flood = Stream(TONIGHT, constant_rate(2.5))
    quiet = Stream(TONIGHT, constant_rate(0.2), workspaces=("inherited",))
    for rule in ONE_CLASS_RULES:
        balanced = Run(rule=rule, streams=[both], duration_s=duration_s).by_workspace
        flooded = Run(rule=rule, streams=[flood, quiet], duration_s=duration_s / 2).by_workspace
        p99 = [balanced[name].percentile_ms(99) for name in ("own", "inherited")]
        ratio = max(p99) / min(p99)
        lines.append(
            f"{rule:6} {p99[0]:13.1f} {p99[1]:10.1f} {ratio:6.2f} "
            f"{flooded['own'].percentile_ms(99):19.1f} "
            f"{flooded['inherited'].percentile_ms(99):10.1f} "
            f"{flooded['inherited'].refused:18}"
        )
    _check(ratio <= MAX_INHERITED_P99_RATIO, f"p99 of own and inherited differ by {ratio:.2f}")
    _check(not flooded["inherited"].refused, "an inherited workspace was refused in a flood")
    return lines


def measure_ceiling_use(duration_s: float) -> list[str]:
    """Measure whether brochures alone, at 3 × the capacity, use all slots of their ceiling."""
    brochure = Stream(
        BROCHURE, constant_rate(3.0, DOWNLOAD_S), hold_s=DOWNLOAD_S, timeout_s=5.0, long=True
    )
    alone = Run(rule="ours", streams=[brochure], duration_s=duration_s)
    ceiling = max_held_slots(BROCHURE, TOTAL_SLOTS)
    max_held = alone.max_held["brochure"]
    utilisation = alone.goodput_fraction * TOTAL_SLOTS / ceiling
    _check(
        max_held == ceiling, f"brochures alone held {max_held} slots, their ceiling is {ceiling}"
    )
    return [
        f"brochures alone: {max_held} of {ceiling} slots held at most, "
        f"{utilisation:.2f} of them in use"
    ]
