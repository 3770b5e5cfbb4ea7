"""What one instance knows of the moves, and where it sends each request because of them."""

from collections.abc import Callable, Mapping, Sequence
from functools import reduce
from hashlib import blake2b
from typing import Final, NamedTuple

from wagtailpoint.config.model import EffectiveConfig, Move
from wagtailpoint.moves.decision import share_of_step
from wagtailpoint.moves.evidence import Evidence, EvidenceWindow
from wagtailpoint.moves.pacing import PacedAllowance, whole_share
from wagtailpoint.moves.progress import NOT_BEGUN, MoveProgress, MoveState, plan_of
from wagtailpoint.observe.timeline import Timeline
from wagtailpoint.ports.backend import BackendAddress, BackendFailure, BackendResponse
from wagtailpoint.ports.clock import Clock

REPORT_AGE_S: Final = 4.0
"""A peer's report older than this says nothing any more, in seconds."""


class _Moved:
    """One move of the configuration in force."""

    def __init__(self, *, move: Move, config: EffectiveConfig, clock: Clock) -> None:
        groups = config.services[move.service].groups
        old = {server.address for server in groups[move.from_group]}
        self.move = move
        self.plan = plan_of(move)
        self.old_servers = frozenset(old)
        # A backend server of both groups gets no more work by the move than it had.
        self.new_servers = frozenset({one.address for one in groups[move.to_group]} - old)
        self.allowance = PacedAllowance(clock=clock)
        self.window = EvidenceWindow(clock=clock)
        self.reports: dict[str, tuple[float, Evidence]] = {}
        self.seen_at = clock.monotonic()


class MoveStatus(NamedTuple):
    """A move on the status page.

    Attributes:
        share: The part of the traffic that goes to the receiving side by this instance's decision.
        allowance_rps: The requests in any second that this instance may send there.
        evidence: What this instance saw of late.
    """

    name: str
    workspace: str
    service: str
    from_group: str
    to_group: str
    cap_rps: float
    wanted: str
    steps: Sequence[float]
    step: int
    state: str
    reason: str
    since: float | None
    writer: str
    version: int
    share: float
    allowance_rps: int
    evidence: Evidence


class MoveBoard:
    """The progress of all moves, as far as this instance knows it, and what it makes of it."""

    def __init__(
        self, *, clock: Clock, timeline: Timeline, cap_fraction: Callable[[], float]
    ) -> None:
        """Make it without any move.

        Args:
            clock: Of this instance.
            timeline: Records each change of a progress.
            cap_fraction: The part of every cap (0 to 1) that this instance may spend now; the
                parts of all instances never add up to more than 1.
        """
        self._clock = clock
        self._timeline = timeline
        self._cap_fraction = cap_fraction
        self._moves: dict[str, _Moved] = {}
        self._of_subject: dict[tuple[str, str], _Moved] = {}
        self._progresses: dict[str, MoveProgress] = {}

    @property
    def moves(self) -> Mapping[str, Move]:
        """The moves of the configuration in force."""
        return {name: moved.move for name, moved in self._moves.items()}

    @property
    def progresses(self) -> Mapping[str, MoveProgress]:
        """The newest progress known of each move."""
        return self._progresses

    def apply(self, config: EffectiveConfig) -> None:
        """Follow another configuration."""
        before = self._moves
        self._moves = {}
        for name, move in config.moves.items():
            moved = _Moved(move=move, config=config, clock=self._clock)
            known = before.get(name)
            if known is not None:
                # What was sent a moment ago still counts against the cap, whatever changed.
                moved.allowance = known.allowance
            if known is not None and known.plan == moved.plan:
                moved.window, moved.reports = known.window, known.reports
                moved.seen_at = known.seen_at
            self._moves[name] = moved
        self._of_subject = {
            (each.move.workspace, each.move.service): each for each in self._moves.values()
        }
        # A progress of a deleted move would be taken for that of the next one of its name.
        self._progresses = {
            name: known for name, known in self._progresses.items() if name in self._moves
        }

    def apply_progress(self, progress: MoveProgress) -> bool:
        """Take in a progress from the platform or a peer; False if it is not news."""
        moved = self._moves.get(progress.move)
        known = self._progresses.get(progress.move)
        if moved is None or (known is not None and progress.version <= known.version):
            return False
        self._progresses[progress.move] = progress
        moved.seen_at = self._clock.monotonic()
        if known is None or known.step != progress.step:
            moved.window.clear()
            moved.reports.clear()
        self._timeline.record(
            "move-step",
            name=progress.move,
            step=progress.step,
            share=share_of_step(moved.move, progress.step),
            state=progress.state.value,
            reason=progress.reason,
            version=progress.version,
            writer=str(progress.writer),
        )
        return True

    def forget(self, name: str) -> None:
        """The platform has no progress of a move any more."""
        self._progresses.pop(name, None)

    def held_s(self, name: str) -> float:
        """Seconds since the newest progress of a move was first seen, or the writing was taken."""
        return self._clock.monotonic() - self._moves[name].seen_at

    def restart_holds(self) -> None:
        """Count the time of each step anew: a new writer has watched none of it."""
        for moved in self._moves.values():
            moved.seen_at = self._clock.monotonic()

    def evidence(self, name: str) -> Evidence:
        """What all instances saw of a move that reported of late, this one included."""
        moved, now = self._moves[name], self._clock.monotonic()
        fresh = [seen for at, seen in moved.reports.values() if now - at <= REPORT_AGE_S]
        return reduce(Evidence.plus, fresh, moved.window.sum())

    def own_evidence(self, name: str) -> Evidence:
        """What this instance saw of a move of late."""
        return self._moves[name].window.sum()

    def apply_report(self, *, sender: str, move: str, version: int, evidence: Evidence) -> None:
        """Take in a peer's report; one made under another progress is dropped."""
        moved, known = self._moves.get(move), self._progresses.get(move)
        if moved is not None and known is not None and known.version == version:
            moved.reports[sender] = (self._clock.monotonic(), evidence)

    def route(self, *, workspace: str, service: str, affinity: str) -> "MoveRoute | None":
        """Where a request goes because of a move; None if none concerns it."""
        moved = self._of_subject.get((workspace, service))
        if moved is None:
            return None
        return MoveRoute(board=self, moved=moved, affinity=affinity)

    def record_exchange(
        self, server: BackendAddress, answered: BackendResponse | BackendFailure, latency_s: float
    ) -> None:
        """Take note of how an exchange ended, whichever workspace it was for."""
        for moved in self._moves.values():
            if server in moved.new_servers:
                moved.window.add(_seen_at_new(answered, latency_s))
            elif server in moved.old_servers and isinstance(answered, BackendResponse):
                moved.window.add(Evidence(old_answered=1, old_latency_s=latency_s))

    def share(self, name: str) -> float:
        """The part of a move's traffic (0 to 1) that goes to the receiving side.

        Sound with an old progress too: abort is in the configuration, which arrives by its own
        way, and the cap is spent by shares, whatever the step.
        """
        moved, known = self._moves[name], self._progresses.get(name)
        if moved.move.state == "abort" or known is None or known.plan != moved.plan:
            return 0.0
        return 0.0 if known.state is MoveState.ABORTED else share_of_step(moved.move, known.step)

    def allowance(self, name: str) -> int:
        """The requests in any second that this instance may send to the receiving side now."""
        return whole_share(self._moves[name].move.cap_rps, self._cap_fraction())

    def status(self) -> list[MoveStatus]:
        """All moves, for the status page."""
        return [self._status(name, moved) for name, moved in self._moves.items()]

    def _status(self, name: str, moved: _Moved) -> MoveStatus:
        move, known = moved.move, self._progresses.get(name)
        return MoveStatus(
            name=name,
            workspace=move.workspace,
            service=move.service,
            from_group=move.from_group,
            to_group=move.to_group,
            cap_rps=move.cap_rps,
            wanted=move.state,
            steps=move.steps,
            step=known.step if known is not None else NOT_BEGUN,
            state=known.state.value if known is not None else "not-begun",
            reason=known.reason if known is not None else "",
            since=known.since if known is not None else None,
            writer=str(known.writer) if known is not None else "",
            version=known.version if known is not None else 0,
            share=self.share(name),
            allowance_rps=self.allowance(name),
            evidence=moved.window.sum(),
        )


class MoveRoute:
    """Where one request goes because of a move; asked anew whenever a slot is looked for."""

    def __init__(self, *, board: MoveBoard, moved: _Moved, affinity: str) -> None:
        self._board = board
        self._moved = moved
        self._position = position_of(moved.move.name, affinity)
        self._over_cap = False

    @property
    def from_group(self) -> str:
        """The group that takes it otherwise."""
        return self._moved.move.from_group

    @property
    def wanted_group(self) -> str | None:
        """The group that its share sends it to; None if it stays with the old one."""
        if self._position >= self._board.share(self._moved.move.name):
            return None
        return self._moved.move.to_group

    def to_group(self) -> str | None:
        """The group that takes it now if it can; None if the request stays with the old one."""
        wanted = self.wanted_group
        most = self._board.allowance(self._moved.move.name)
        self._over_cap = wanted is not None and not self._moved.allowance.room(most)
        return None if self._over_cap else wanted

    def record_slot_taken(self, server: BackendAddress) -> None:
        """A slot was taken, in the same step as ``to_group`` was asked for."""
        if server in self._moved.new_servers:
            self._moved.allowance.spend(self._board.allowance(self._moved.move.name))
        elif self._over_cap:
            self._moved.window.add(Evidence(over_cap=1))
        elif self.wanted_group is not None:
            self._moved.window.add(Evidence(spilled=1))


def position_of(move: str, affinity: str) -> float:
    """A number from 0 to 1 that is always the same for the same caller and thing asked for.

    A request goes over once the share exceeds its position, so each step adds callers and takes
    none back, and what a moved caller asked for before is asked for where it is cached.
    """
    digest = blake2b(f"{move} {affinity}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") / 2.0**64


def _seen_at_new(answered: BackendResponse | BackendFailure, latency_s: float) -> Evidence:
    if isinstance(answered, BackendResponse):
        return Evidence(answered=1, latency_s=latency_s)
    return Evidence(shed=1) if answered.shed else Evidence(failed=1)
