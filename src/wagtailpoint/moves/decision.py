"""The next step of a move, as a pure function of what its writer knows."""

from typing import Final, NamedTuple

from wagtailpoint.config.model import Move
from wagtailpoint.moves.evidence import Evidence
from wagtailpoint.moves.progress import NOT_BEGUN, MoveProgress, MoveState, plan_fingerprint
from wagtailpoint.ports.peers import PeerAddress
from wagtailpoint.ports.platform import ABSENT
from wagtailpoint.revision import Revision

MAX_COLD_FRACTION: Final = 0.25
"""The receiving side is cold if a greater fraction of its backend servers reports cold caches. A
single report can be misleading, so it does not stop a move."""

MAX_FAILURE_FRACTION: Final = 0.02
"""The tolerated fraction of shed and failed requests."""

MIN_FAILURES: Final = 2
"""A single shed or failed request is not significant."""

MAX_SLOWDOWN: Final = 2.0
"""The tolerated ratio of the mean latencies of the receiving and the old side."""

MIN_SLOW_LATENCY_S: Final = 0.005
"""Mean latencies up to this are never slow, in seconds."""

MIN_ANSWERS: Final = 10
"""The number of answers from which their mean latency is significant."""

MIN_EXPECTED_REQUESTS: Final = 5.0
"""If this many requests should have reached the receiving side and none did, the move holds."""


class ReceivingSide(NamedTuple):
    """The state of the receiving side of a move, as the writer sees it.

    Attributes:
        evidence: The recent evidence of all instances.
        servers: The number of its backend servers that are not drained.
        cold: The number of those that report cold caches.
    """

    evidence: Evidence
    servers: int
    cold: int


class WriterView(NamedTuple):
    """The input of a decision besides the move and its progress.

    Attributes:
        receiving: The state of the receiving side.
        held_s: Seconds since the writer first saw the current progress, by its monotonic clock.
        wall: The current time in seconds since the epoch.
        writer: The address of the writer.
    """

    receiving: ReceivingSide
    held_s: float
    wall: float
    writer: PeerAddress


def find_hold_reason(receiving: ReceivingSide, share: float) -> str | None:
    """Return the reason why a move must hold at its step; None if the receiving side is warm.

    Args:
        receiving: The state of the receiving side.
        share: The fraction of the traffic (0 to 1) that it gets.
    """
    evidence = receiving.evidence
    if not receiving.servers:
        return "no backend server of the receiving side takes new work"
    if receiving.cold > MAX_COLD_FRACTION * receiving.servers:
        return f"{receiving.cold} of {receiving.servers} backend servers report cold caches"
    failures, total = (
        evidence.shed + evidence.failed,
        evidence.answered + evidence.shed + evidence.failed,
    )
    if failures >= MIN_FAILURES and failures > MAX_FAILURE_FRACTION * total:
        return f"shed {evidence.shed} and failed {evidence.failed} of {total}"
    if not total and evidence.over_cap >= MIN_EXPECTED_REQUESTS:
        return "the cap leaves no instance a whole request a second; raise cap_rps"
    if not total and evidence.old_answered * share >= MIN_EXPECTED_REQUESTS:
        return "no request reached the receiving side"
    return _find_slowness(evidence)


def _find_slowness(evidence: Evidence) -> str | None:
    if min(evidence.answered, evidence.old_answered) < MIN_ANSWERS:
        return None
    mean_s = evidence.latency_s / evidence.answered
    old_mean_s = evidence.old_latency_s / evidence.old_answered
    if mean_s <= max(MIN_SLOW_LATENCY_S, MAX_SLOWDOWN * old_mean_s):
        return None
    return f"answers in {1000 * mean_s:.0f} ms, the old side in {1000 * old_mean_s:.0f} ms"


def next_progress(
    move: Move, current: MoveProgress | None, view: WriterView
) -> MoveProgress | None:
    """Return the progress to write; None if the current one stays.

    The result has the version of the progress that it replaces.
    """
    if current is None or current.plan != plan_fingerprint(move):
        version = current.version if current is not None else ABSENT
        return _begin_move(move, view, version) if move.state != "abort" else None
    if move.state == "abort":
        if current.state is MoveState.ABORTED:
            return None
        # A resumed move starts again at the first step, because the caches may be cold again.
        return _update_progress(
            current, view, step=NOT_BEGUN, state=MoveState.ABORTED, reason="by the operator"
        )
    if move.state == "pause":
        if current.state in (MoveState.PAUSED, MoveState.ABORTED):
            return None
        return _update_progress(current, view, state=MoveState.PAUSED, reason="by the operator")
    return _continue_move(move, current, view)


def _continue_move(move: Move, current: MoveProgress, view: WriterView) -> MoveProgress | None:
    if current.state in (MoveState.PAUSED, MoveState.ABORTED):
        step = max(0, current.step)
        return _update_progress(current, view, step=step, state=MoveState.RUNNING, reason="resumed")
    hold_reason = find_hold_reason(view.receiving, step_share(move, current.step))
    if hold_reason is not None:
        if current.state is not MoveState.RUNNING:
            # A hold is written once, not at each new reason; a finished move is not held again.
            return None
        return _update_progress(current, view, state=MoveState.HOLDING, reason=hold_reason)
    if current.state is MoveState.HOLDING:
        return _update_progress(current, view, state=MoveState.RUNNING, reason="warm again")
    if current.state is MoveState.DONE or view.held_s < move.hold_s:
        return None
    if current.step + 1 >= len(move.steps):
        return _update_progress(current, view, state=MoveState.DONE, reason="warm at the last step")
    return _update_progress(
        current, view, step=current.step + 1, state=MoveState.RUNNING, reason="warm"
    )


def step_share(move: Move, step: int) -> float:
    """Return the fraction of the traffic (0 to 1) that a step sends to the receiving side."""
    return move.steps[step] if 0 <= step < len(move.steps) else 0.0


def _begin_move(move: Move, view: WriterView, version: Revision) -> MoveProgress:
    paused = move.state == "pause"
    return MoveProgress(
        move=move.name,
        plan=plan_fingerprint(move),
        step=NOT_BEGUN if paused else 0,
        state=MoveState.PAUSED if paused else MoveState.RUNNING,
        reason="begun",
        since=view.wall,
        writer=view.writer,
        version=version,
    )


def _update_progress(
    current: MoveProgress,
    view: WriterView,
    *,
    state: MoveState,
    reason: str,
    step: int | None = None,
) -> MoveProgress:
    step_changed = step is not None and step != current.step
    return current._replace(
        step=current.step if step is None else step,
        state=state,
        reason=reason,
        since=view.wall if step_changed else current.since,
        writer=view.writer,
    )
