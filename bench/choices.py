"""Measures how much processor time the choice of a backend server takes.

    PYTHONPATH=src:. .venv/bin/python -m bench.choices

The real ``Placement`` of one instance chooses among servers that have answered and have requests in
flight. Warm: the order of the servers for the key is cached. Cold: the key is new, so that all
servers are ranked for it.
"""

import time
from collections.abc import Callable, Iterator, Mapping
from itertools import count, cycle, islice

import trio
from loguru import logger
from tests.common.steering_parts import (
    REGION_OF,
    make_placement,
    make_route,
    make_server,
    make_table,
)

from wagtailpoint.discovery.fleet import Fleet
from wagtailpoint.placement.choice import Choice, Demand, Observation
from wagtailpoint.placement.load_report import LoadReport
from wagtailpoint.placement.placement import Placement

CANDIDATES = (36, 129, 400)
BOUND_CANDIDATES = 129
MAX_CHOICE_MS = 0.33
"""The bound on the time of a choice among ``BOUND_CANDIDATES``, of a new key too: an instance makes
at least 300 a second, for which a tenth of a core is available. It shows gross regressions only."""

SLOTS = 4
WARM_KEYS = 64
ROUNDS = 40
CHOICES = 100
CHOICES_SHORT = 40
ANSWER_S = 0.05

_MS_PER_S = 1000.0

_Figures = dict[str, dict[str, float]]
_last: _Figures = {}


def _demands(keys: Iterator[str]) -> Iterator[Demand]:
    route, policy = make_route(), make_table().services["desk"]
    for key in keys:
        yield Demand(
            route=route,
            service="desk",
            policy=policy,
            key=key,
            tried=(),
            remaining_s=2.0,
            objective_remaining_s=0.3,
        )


def _make_used_placement(candidates: int) -> Placement:
    """Return a placement that has seen an answer of most servers and has requests in flight."""
    domains = sorted(REGION_OF)
    fleet = Fleet(region_of=REGION_OF)
    fleet.update(
        make_server(f"i-{number}", failure_domain=domains[number % len(domains)], slots=SLOTS)
        for number in range(candidates)
    )
    placement = make_placement(fleet)
    seen = Observation(ANSWER_S, 400, False, False, LoadReport(1, 0, SLOTS), 0.0)
    for number, demand in enumerate(_demands(f"used-{n}" for n in range(4 * candidates))):
        placement.record_request(demand)
        choice = placement.choose(demand)
        if not isinstance(choice, Choice):
            continue
        request = placement.record_send(demand, choice)
        if number < 3 * candidates:
            placement.record_answer(demand, choice, seen)
            placement.record_end(choice.entry, request)
    return placement


def _best_ms(choose: Callable[[Demand], object], demands: Iterator[Demand], choices: int) -> float:
    """Return the processor time of a choice in milliseconds, in the best of several rounds."""
    best_s = float("inf")
    for _ in range(ROUNDS):
        drawn = list(islice(demands, choices))
        started_s = time.thread_time()
        for demand in drawn:
            choose(demand)
        best_s = min(best_s, time.thread_time() - started_s)
    return best_s / choices * _MS_PER_S


def _measure(candidates: int, choices: int) -> Mapping[str, float]:
    logger.disable("wagtailpoint")
    try:
        return trio.run(_measure_both, candidates, choices)
    finally:
        logger.enable("wagtailpoint")


async def _measure_both(candidates: int, choices: int) -> Mapping[str, float]:
    placement = _make_used_placement(candidates)
    warm_keys = [f"warm-{number}" for number in range(WARM_KEYS)]
    for demand in _demands(iter(warm_keys)):
        placement.choose(demand)
    cold_keys = (f"cold-{number}" for number in count())
    return {
        "warm": _best_ms(placement.choose, _demands(cycle(warm_keys)), choices),
        "cold": _best_ms(placement.choose, _demands(cold_keys), choices),
    }


def run(short: bool) -> list[str]:
    """Measure the choice at several numbers of candidates.

    Raises:
        AssertionError: A bound is exceeded.
    """
    lines = [f"{'candidates':>10} {'warm ms':>8} {'a second':>9} {'cold ms':>8} {'a second':>9}"]
    _last.clear()
    for candidates in CANDIDATES:
        took_ms = _measure(candidates, CHOICES_SHORT if short else CHOICES)
        warm_ms, cold_ms = took_ms["warm"], took_ms["cold"]
        lines.append(
            f"{candidates:>10} {warm_ms:>8.4f} {_MS_PER_S / warm_ms:>9.0f} "
            f"{cold_ms:>8.4f} {_MS_PER_S / cold_ms:>9.0f}"
        )
        _last[f"ms for a choice among {candidates}"] = dict(took_ms)
    for kind, took in _last[f"ms for a choice among {BOUND_CANDIDATES}"].items():
        assert took <= MAX_CHOICE_MS, (
            f"{kind} choice among {BOUND_CANDIDATES}: {took:.3f} ms of processor time, "
            f"bound {MAX_CHOICE_MS} ms"
        )
    return lines


def figures() -> _Figures:
    """Return the results of the last run, for the plot."""
    return _last


if __name__ == "__main__":
    print("\n".join(run(short=False)))
