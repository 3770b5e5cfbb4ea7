"""Classes of requests under load: our admission against plain rules, in virtual time.

    python -m bench.run full

The bounds are ratios within one run. Same seed, same figures.
"""

from collections.abc import Mapping
from typing import Final

from bench.admission_driver import (
    ALL_SLOTS,
    BROCHURE,
    BROWSE,
    CAPACITY_RPS,
    PLAIN_AND_OURS,
    RULES,
    TONIGHT,
    Run,
    Stream,
)
from wagtailpoint.admission.ceilings import max_held_slots

MOST_TONIGHT_RATIO: Final = 1.2
LEAST_GOODPUT_RATIO: Final = 0.95
MOST_INHERITED_RATIO: Final = 1.05
LEAST_CEILING_USE: Final = 0.9
MOST_LATE_PART: Final = 0.02
DOWNLOAD_S: Final = 0.5

_figures: dict[str, dict[str, float]] = {}
_broken: list[str] = []


def steady(part: float, hold_s: float | None = None):
    """So much of the capacity, all the time."""
    rps = part * (CAPACITY_RPS if hold_s is None else ALL_SLOTS / hold_s)
    return lambda _now_s: rps


def figures() -> Mapping[str, Mapping[str, float]]:
    """What the last run measured, for the plot."""
    return _figures


def run(short: bool) -> list[str]:
    """Run all cases."""
    _figures.clear()
    _broken.clear()
    factor = 1 if short else 5
    lines = tonight_under_pressure(2.0 * factor)
    lines += goodput(1.0 * factor)
    lines += rent_day(1 if short else 3)
    lines += inherited(3.0 * factor)
    lines += idle_room(2.0 * factor)
    # At the end, so that a broken bound doesn't hide the rest of the table.
    assert not _broken, "; ".join(_broken) + "\n" + "\n".join(lines)
    return lines


def _check(holds: bool, broken: str) -> None:
    if not holds:
        _broken.append(broken)


def tonight_under_pressure(until_s: float) -> list[str]:
    """Tonight-searches while browsing and brochures press, each with 1.5 × the capacity."""
    tonight = Stream(TONIGHT, steady(0.3))
    browse = Stream(BROWSE, steady(1.5))
    brochure = Stream(
        BROCHURE, steady(1.5, DOWNLOAD_S), hold_s=DOWNLOAD_S, timeout_s=5.0, long=True
    )
    idle = Run(rule="ours", streams=[tonight], until_s=until_s).by_class["tonight"]
    lines = [
        "tonight at 0.3 of capacity, browsing and brochures at 1.5 each",
        "rule   tonight p50/p99 ms  of idle  refused  browse answered/s  downloads finished/s",
        f"idle   {idle.at_ms(50):8.1f} {idle.at_ms(99):9.1f}     1.00 {idle.refused:8}",
    ]
    bars = _figures.setdefault("tonight p99 ms", {"idle": idle.at_ms(99)})
    for rule in RULES:
        found = Run(rule=rule, streams=[tonight, browse, brochure], until_s=until_s).by_class
        urgent = found["tonight"]
        ratio = urgent.at_ms(99) / idle.at_ms(99)
        bars[rule] = urgent.at_ms(99)
        lines.append(
            f"{rule:6} {urgent.at_ms(50):8.1f} {urgent.at_ms(99):9.1f} {ratio:8.2f} "
            f"{urgent.refused + urgent.timed_out:8} {found['browse'].answered / until_s:18.0f} "
            f"{found['brochure'].answered / until_s:21.1f}"
        )
    _check(ratio <= MOST_TONIGHT_RATIO, f"tonight p99 is {ratio:.2f} x that of an idle system")
    _check(not urgent.refused, f"{urgent.refused} tonight-searches were refused")
    _check(found["brochure"].answered > 0, "no download finished")
    return lines


def goodput(until_s: float) -> list[str]:
    """One class at 1 × and 3 × its capacity, also with callers that repeat at once."""
    lines = [
        "goodput as a part of all slot time; at 3 x as a part of that at 1 x",
        "rule   at 1 x  at 3 x  ratio  at 3 x repeating  ratio  late refusals  timed out",
    ]
    bars = _figures.setdefault("goodput at 3 x, repeating", {})
    for rule in PLAIN_AND_OURS:
        once = Run(
            rule=rule, streams=[Stream(TONIGHT, steady(1.0), timeout_s=0.25)], until_s=until_s
        )
        thrice = Run(
            rule=rule, streams=[Stream(TONIGHT, steady(3.0), timeout_s=0.25)], until_s=until_s
        )
        again = Stream(TONIGHT, steady(3.0), timeout_s=0.25, repeats=2)
        storm = Run(rule=rule, streams=[again], until_s=until_s)
        ratios = thrice.used / once.used, storm.used / once.used
        found = storm.by_class["tonight"]
        bars[rule] = storm.used
        lines.append(
            f"{rule:6} {once.used:6.3f} {thrice.used:7.3f} {ratios[0]:6.2f} {storm.used:17.3f} "
            f"{ratios[1]:6.2f} {found.late_refusals:14} {found.timed_out:10}"
        )
    _check(min(ratios) >= LEAST_GOODPUT_RATIO, f"goodput falls to {min(ratios):.2f} at 3 x load")
    return lines


def rent_day(rounds: int) -> list[str]:
    """Balance checks rise ten-fold, from 0.2 to 2 × the capacity, stay so, and fall again."""

    def checks(now_s: float) -> float:
        return CAPACITY_RPS * (2.0 if 1.0 <= now_s < 1.0 + 2.0 * rounds else 0.2)

    until_s = 2.0 + 2.0 * rounds
    lines = [
        "rent day: balance checks from 0.2 to 2 x capacity within an instant",
        "rule   p50/p99 ms of answers  answered  refused  late refusals  timed out",
    ]
    bars = _figures.setdefault("rent day p99 ms", {})
    for rule in PLAIN_AND_OURS:
        found = Run(rule=rule, streams=[Stream(TONIGHT, checks)], until_s=until_s)
        check = found.by_class["tonight"]
        bars[rule] = check.at_ms(99)
        lines.append(
            f"{rule:6} {check.at_ms(50):8.1f} {check.at_ms(99):12.1f} {check.answered:9} "
            f"{check.refused:8} {check.late_refusals:14} {check.timed_out:10}"
        )
    late = check.late_refusals / max(1, check.refused)
    _check(late <= MOST_LATE_PART, f"{late:.3f} of the refusals came late")
    return lines


def inherited(until_s: float) -> list[str]:
    """An inherited workspace beside an own one, at 85 % load, and while the own one floods."""
    lines = [
        "inherited against own workspace, p99 ms",
        "rule   at 0.85: own  inherited  ratio   flood by own: own  inherited  inherited refused",
    ]
    both = Stream(TONIGHT, steady(0.85), workspaces=("own", "inherited"))
    flood = Stream(TONIGHT, steady(2.5))
    few = Stream(TONIGHT, steady(0.2), workspaces=("inherited",))
    for rule in PLAIN_AND_OURS:
        even = Run(rule=rule, streams=[both], until_s=until_s).by_workspace
        pressed = Run(rule=rule, streams=[flood, few], until_s=until_s / 2).by_workspace
        p99 = [even[name].at_ms(99) for name in ("own", "inherited")]
        ratio = max(p99) / min(p99)
        lines.append(
            f"{rule:6} {p99[0]:13.1f} {p99[1]:10.1f} {ratio:6.2f} "
            f"{pressed['own'].at_ms(99):19.1f} {pressed['inherited'].at_ms(99):10.1f} "
            f"{pressed['inherited'].refused:18}"
        )
    _check(ratio <= MOST_INHERITED_RATIO, f"p99 of own and inherited differ by {ratio:.2f}")
    _check(not pressed["inherited"].refused, "an inherited workspace was refused in a flood")
    return lines


def idle_room(until_s: float) -> list[str]:
    """Brochures alone, at 3 × the capacity, use what their ceiling allows."""
    brochure = Stream(
        BROCHURE, steady(3.0, DOWNLOAD_S), hold_s=DOWNLOAD_S, timeout_s=5.0, long=True
    )
    alone = Run(rule="ours", streams=[brochure], until_s=until_s)
    ceiling = max_held_slots(BROCHURE, ALL_SLOTS)
    most = alone.most_held["brochure"]
    use = alone.used * ALL_SLOTS / ceiling
    _check(most == ceiling, f"brochures alone held {most} slots, their ceiling is {ceiling}")
    return [f"brochures alone: {most} of {ceiling} slots held at most, {use:.2f} of them in use"]
