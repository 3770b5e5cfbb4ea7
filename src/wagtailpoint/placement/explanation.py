"""What a choice of a backend server considered, for operators."""

from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from wagtailpoint.placement.choice import Choice, Declined, Demand, NotPlaced
from wagtailpoint.placement.ranking import Ranked
from wagtailpoint.placement.weigher import Weigher

CHOSEN = "chosen"
GREATER_LOSS = "greater-loss"
NOT_CONSIDERED = "not-considered"
UNREACHABLE = "unreachable"


class ExplainedCandidate(NamedTuple):
    """A candidate and what the choice made of it.

    Attributes:
        server_id: The backend server.
        failure_domain: Its failure domain.
        rank: Its rank for the affinity key, from 0.
        outcome: ``chosen``; ``greater-loss`` if another is better; ``unreachable``;
            ``not-considered`` if others are preferred; or the reason why it was declined.
        occupancy: The estimated number of requests there.
        slots: The number of requests that it runs at the same time.
        report_age_s: The age of the newest load report from it, in seconds.
        expected_s: The expected latency in seconds; None if it was not estimated.
        cached: The probability that the object is cached there; None if it was not estimated.
    """

    server_id: str
    failure_domain: str
    rank: int
    outcome: str
    occupancy: float
    slots: int
    report_age_s: float
    expected_s: float | None
    cached: float | None


class Explanation(NamedTuple):
    """A choice and all its candidates, by rank."""

    chosen: Choice | NotPlaced
    candidates: Sequence[ExplainedCandidate]


class RecordingWeigher:
    """Evaluates backend servers like the given weigher, and keeps the results."""

    def __init__(self, *, weigher: "Weigher | RecordingWeigher") -> None:
        self.options: dict[str, Ranked] = {}
        self.results: dict[str, Choice | Declined] = {}
        self._weigher = weigher

    def weigh(
        self, demand: Demand, ranked: Ranked, position: float, utilisation: float, now: float
    ) -> Choice | Declined:
        """Evaluate a backend server for a request; see ``Weigher.weigh``."""
        result = self._weigher.weigh(demand, ranked, position, utilisation, now)
        self.options[ranked.candidate.entry.server_id] = ranked
        self.results[ranked.candidate.entry.server_id] = result
        return result


def make_explanation(
    chosen: Choice | NotPlaced,
    options: Iterable[Ranked],
    results: Mapping[str, Choice | Declined],
) -> Explanation:
    """Return the explanation of a choice.

    Args:
        chosen: The result of the choice.
        options: All candidates.
        results: What was found of each candidate, by the id of the backend server.
    """
    by_rank = sorted(options, key=lambda option: option.rank)
    return Explanation(
        chosen,
        [
            _explain_candidate(option.rank, results[option.candidate.entry.server_id], chosen)
            for option in by_rank
        ],
    )


def _explain_candidate(
    rank: int, result: Choice | Declined, chosen: Choice | NotPlaced
) -> ExplainedCandidate:
    if isinstance(result, Choice):
        outcome = CHOSEN if result == chosen else GREATER_LOSS
    else:
        outcome = result.reason
    return ExplainedCandidate(
        server_id=result.entry.server_id,
        failure_domain=result.entry.failure_domain,
        rank=rank,
        outcome=outcome,
        occupancy=result.occupancy,
        slots=result.entry.slots,
        report_age_s=result.report_age_s,
        expected_s=result.expected.latency_s if isinstance(result, Choice) else None,
        cached=result.cached if isinstance(result, Choice) else None,
    )
