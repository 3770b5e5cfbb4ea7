"""What the writer of a move does next; a function of what it knows."""

from typing import Final, NamedTuple

from wagtailpoint.config.model import Move
from wagtailpoint.moves.evidence import Evidence
from wagtailpoint.moves.progress import NOT_BEGUN, MoveProgress, MoveState, plan_of
from wagtailpoint.ports.peers import PeerAddress

MOST_COLD_PART: Final = 0.25
"""With more than this part of its backend servers reporting cold caches the side is cold. Reports
mislead, so a single one does not stop a move."""

MOST_BAD_PART: Final = 0.02
"""The part of shed and failed requests that is bearable."""

LEAST_BAD: Final = 2
"""A single shed or failed request says nothing."""

MOST_SLOWER: Final = 2.0
"""The receiving side may be so many times slower than the old one."""

LEAST_SLOW_S: Final = 0.005
"""Nothing faster than this is called slow, in seconds."""

ENOUGH_ANSWERS: Final = 10
"""Answers before their mean latency says something."""

ENOUGH_EXPECTED: Final = 5.0
"""So many requests were to reach the receiving side, and none did: then something is wrong."""


class Receiving(NamedTuple):
    """The receiving side of a move, as its writer sees it.

    Attributes:
        evidence: Of all instances that reported of late.
        servers: Its backend servers that are not drained.
        cold: How many of them report cold caches.
    """

    evidence: Evidence
    servers: int
    cold: int


class Known(NamedTuple):
    """What the writer knows besides the move and its progress.

    Attributes:
        receiving: The receiving side.
        held_s: Seconds since the progress was first seen as it is, by the writer's own clock.
        wall: Seconds since the epoch.
        writer: The writer.
    """

    receiving: Receiving
    held_s: float
    wall: float
    writer: PeerAddress


def coldness(receiving: Receiving, share: float) -> str | None:
    """Why the receiving side is not seen warm; None if it is.

    Args:
        receiving: The receiving side.
        share: The part of the traffic (0 to 1) that it is given.
    """
    seen = receiving.evidence
    if not receiving.servers:
        return "no backend server of the receiving side takes new work"
    if receiving.cold > MOST_COLD_PART * receiving.servers:
        return f"{receiving.cold} of {receiving.servers} backend servers report cold caches"
    bad, total = seen.shed + seen.failed, seen.answered + seen.shed + seen.failed
    if bad >= LEAST_BAD and bad > MOST_BAD_PART * total:
        return f"shed {seen.shed} and failed {seen.failed} of {total}"
    if not total and seen.over_cap >= ENOUGH_EXPECTED:
        return "the cap leaves no instance a whole request a second; raise cap_rps"
    if not total and seen.old_answered * share >= ENOUGH_EXPECTED:
        return "no request reached the receiving side"
    return _slowness(seen)


def _slowness(seen: Evidence) -> str | None:
    if min(seen.answered, seen.old_answered) < ENOUGH_ANSWERS:
        return None
    mean_s = seen.latency_s / seen.answered
    old_mean_s = seen.old_latency_s / seen.old_answered
    if mean_s <= max(LEAST_SLOW_S, MOST_SLOWER * old_mean_s):
        return None
    return f"answers in {1000 * mean_s:.0f} ms, the old side in {1000 * old_mean_s:.0f} ms"


def next_progress(move: Move, current: MoveProgress | None, known: Known) -> MoveProgress | None:
    """The progress to write; None if it stays as it is.

    The version of the result is that of the progress it replaces.
    """
    if current is None or current.plan != plan_of(move):
        version = current.version if current is not None else 0
        return _begin(move, known, version) if move.state != "abort" else None
    if move.state == "abort":
        if current.state is MoveState.ABORTED:
            return None
        # Resumed after this it begins anew: the caches may be cold again.
        return _write(
            current, known, step=NOT_BEGUN, state=MoveState.ABORTED, reason="by the operator"
        )
    if move.state == "pause":
        if current.state in (MoveState.PAUSED, MoveState.ABORTED):
            return None
        return _write(current, known, state=MoveState.PAUSED, reason="by the operator")
    return _run(move, current, known)


def _run(move: Move, current: MoveProgress, known: Known) -> MoveProgress | None:
    if current.state in (MoveState.PAUSED, MoveState.ABORTED):
        step = max(0, current.step)
        return _write(current, known, step=step, state=MoveState.RUNNING, reason="resumed")
    cold = coldness(known.receiving, share_of_step(move, current.step))
    if cold is not None:
        if current.state is not MoveState.RUNNING:
            # Written once, not with each new figure; a done move isn't taken back by the program.
            return None
        return _write(current, known, state=MoveState.HOLDING, reason=cold)
    if current.state is MoveState.HOLDING:
        return _write(current, known, state=MoveState.RUNNING, reason="warm again")
    if current.state is MoveState.DONE or known.held_s < move.hold_s:
        return None
    if current.step + 1 >= len(move.steps):
        return _write(current, known, state=MoveState.DONE, reason="warm at the last step")
    return _write(current, known, step=current.step + 1, state=MoveState.RUNNING, reason="warm")


def share_of_step(move: Move, step: int) -> float:
    """The part of the traffic (0 to 1) that a step sends to the receiving side."""
    return move.steps[step] if 0 <= step < len(move.steps) else 0.0


def _begin(move: Move, known: Known, version: int) -> MoveProgress:
    paused = move.state == "pause"
    return MoveProgress(
        move=move.name,
        plan=plan_of(move),
        step=NOT_BEGUN if paused else 0,
        state=MoveState.PAUSED if paused else MoveState.RUNNING,
        reason="begun",
        since=known.wall,
        writer=known.writer,
        version=version,
    )


def _write(
    current: MoveProgress, known: Known, *, state: MoveState, reason: str, step: int | None = None
) -> MoveProgress:
    changed = step is not None and step != current.step
    return current._replace(
        step=current.step if step is None else step,
        state=state,
        reason=reason,
        since=known.wall if changed else current.since,
        writer=known.writer,
    )
