"""What the writer of a move does next; a function of what it knows."""

from typing import Final, NamedTuple

from wagtailpoint.config.model import Move
from wagtailpoint.moves.evidence import Evidence
from wagtailpoint.moves.progress import NOT_BEGUN, MoveProgress, MoveState, plan_fingerprint
from wagtailpoint.ports.peers import PeerAddress

MAX_COLD_FRACTION: Final = 0.25
"""With more than this part of its backend servers reporting cold caches the side is cold. Reports
mislead, so a single one does not stop a move."""

MAX_FAILURE_FRACTION: Final = 0.02
"""The part of shed and failed requests that is bearable."""

MIN_FAILURES: Final = 2
"""A single shed or failed request says nothing."""

MAX_SLOWDOWN: Final = 2.0
"""The receiving side may be so many times slower than the old one."""

MIN_SLOW_LATENCY_S: Final = 0.005
"""Nothing faster than this is called slow, in seconds."""

MIN_ANSWERS: Final = 10
"""Answers before their mean latency says something."""

MIN_EXPECTED_REQUESTS: Final = 5.0
"""So many requests were to reach the receiving side, and none did: then something is wrong."""


class ReceivingSide(NamedTuple):
    """The receiving side of a move, as its writer sees it.

    Attributes:
        evidence: Of all instances that reported of late.
        servers: Its backend servers that are not drained.
        cold: How many of them report cold caches.
    """

    evidence: Evidence
    servers: int
    cold: int


class WriterView(NamedTuple):
    """What the writer knows besides the move and its progress.

    Attributes:
        receiving: The receiving side.
        held_s: Seconds since the progress was first seen as it is, by the writer's own clock.
        wall: Seconds since the epoch.
        writer: The writer.
    """

    receiving: ReceivingSide
    held_s: float
    wall: float
    writer: PeerAddress


def find_hold_reason(receiving: ReceivingSide, share: float) -> str | None:
    """Why the receiving side is not seen warm; None if it is.

    Args:
        receiving: The receiving side.
        share: The part of the traffic (0 to 1) that it is given.
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
    """The progress to write; None if it stays as it is.

    The version of the result is that of the progress it replaces.
    """
    if current is None or current.plan != plan_fingerprint(move):
        version = current.version if current is not None else 0
        return _begin_move(move, view, version) if move.state != "abort" else None
    if move.state == "abort":
        if current.state is MoveState.ABORTED:
            return None
        # Resumed after this it begins anew: the caches may be cold again.
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
            # Written once, not with each new figure; a done move isn't taken back by the program.
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
    """The part of the traffic (0 to 1) that a step sends to the receiving side."""
    return move.steps[step] if 0 <= step < len(move.steps) else 0.0


def _begin_move(move: Move, view: WriterView, version: int) -> MoveProgress:
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
