"""The outcomes of simulated requests, and figures computed from them."""

from collections import Counter, defaultdict
from collections.abc import Mapping, Sequence
from typing import NamedTuple

WINDOW_S = 2.0


class Outcome(NamedTuple):
    """The outcome of one request.

    Attributes:
        began: When the caller sent the request, in seconds from the start.
        domain: The failure domain of the caller.
        name: The name of the request's class.
        value: The value of an answer in time.
        earned: The value of the actual answer; 0 if there was none.
        refused: Whether the request was refused twice.
        ran_in: The region where the request ran; empty if it was refused.
        price: The price of the transferred bytes.
    """

    began: float
    domain: str
    name: str
    value: float
    earned: float
    refused: bool
    ran_in: str
    price: float


def worth(outcomes: Sequence[Outcome]) -> float:
    """Return the earned value as a fraction (0 to 1) of the possible value."""
    owed = sum(outcome.value for outcome in outcomes)
    return sum(outcome.earned for outcome in outcomes) / owed if owed else 0.0


def prices(outcomes: Sequence[Outcome]) -> float:
    """Return the price of all bytes as a fraction of the possible value."""
    owed = sum(outcome.value for outcome in outcomes)
    return sum(outcome.price for outcome in outcomes) / owed if owed else 0.0


def worth_by(outcomes: Sequence[Outcome], field: str) -> dict[str, float]:
    """Return the worth for each value of a field of the outcomes; ``began`` by whole seconds."""
    groups: dict[str, list[Outcome]] = defaultdict(list)
    for outcome in outcomes:
        value = getattr(outcome, field)
        groups[f"{int(value):02}" if field == "began" else value].append(outcome)
    return {name: worth(found) for name, found in sorted(groups.items())}


def largest_shift(outcomes: Sequence[Outcome], region_of: Mapping[str, str]) -> float:
    """Return the largest fraction of a region's requests that changed regions between windows."""
    windows: dict[tuple[str, int], Counter[str]] = defaultdict(Counter)
    for outcome in outcomes:
        if outcome.ran_in:
            windows[region_of[outcome.domain], int(outcome.began // WINDOW_S)][outcome.ran_in] += 1
    shifts = [0.0]
    for (region, number), ran in windows.items():
        after = windows.get((region, number + 1))
        if after is not None:
            shifts.append(
                sum(
                    max(0.0, after[target] / after.total() - ran[target] / ran.total())
                    for target in after
                )
            )
    return max(shifts)
