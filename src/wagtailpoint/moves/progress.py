"""How far a move is: an object of the platform that only the holder of the moves' lease writes."""

from enum import Enum
from hashlib import blake2b
from typing import Any, Final, NamedTuple, TypedDict

import msgspec
from result import Err, Ok, Result

from wagtailpoint.config.model import Move
from wagtailpoint.ports.peers import PeerAddress
from wagtailpoint.ports.platform import StoredObject

PROGRESS_KIND: Final = "move-progress"
NOT_BEGUN: Final = -1
"""The step before the first: all traffic stays where it was."""


class MoveState(Enum):
    """What a move does now."""

    RUNNING = "running"
    HOLDING = "holding"
    """The receiving side is not seen warm."""
    PAUSED = "paused"
    ABORTED = "aborted"
    DONE = "done"


class ProgressValue(TypedDict):
    """What is stored of a move's progress.

    Attributes:
        write: Unlike that of any other write, so that its writer knows it again.
        fence: Of the writer's lease.
    """

    plan: str
    step: int
    state: str
    reason: str
    since: float
    writer: str
    writer_port: int
    writer_incarnation: int
    write: str
    fence: int


class MoveProgress(NamedTuple):
    """How far a move is.

    Attributes:
        move: The move's name.
        plan: The fingerprint of the plan that it belongs to; a move that was deleted and planned
            anew under the same name must not inherit the progress.
        step: Index of the step in force, ``NOT_BEGUN`` before the first.
        state: What it does.
        reason: Why, for people.
        since: When the step began, in seconds since the epoch by the writer's clock; for people.
        writer: Who wrote it; takes the others' reports.
        version: The version of the object: of two progresses the greater is the newer one.
    """

    move: str
    plan: str
    step: int
    state: MoveState
    reason: str
    since: float
    writer: PeerAddress
    version: int

    def to_value(self, write: str) -> dict[str, Any]:
        """What is stored, but for the fence, which the lease adds."""
        return {
            "plan": self.plan,
            "step": self.step,
            "state": self.state.value,
            "reason": self.reason,
            "since": self.since,
            "writer": self.writer.address,
            "writer_port": self.writer.port,
            "writer_incarnation": self.writer.incarnation,
            "write": write,
        }


def plan_fingerprint(move: Move) -> str:
    """The fingerprint of what a move shifts and in which steps."""
    plan = (move.workspace, move.service, move.from_group, move.to_group, move.steps)
    return blake2b(repr(plan).encode(), digest_size=8).hexdigest()


def read_progress(stored: StoredObject) -> Result[MoveProgress, str]:
    """Read a stored progress, or say what is wrong with it."""
    try:
        value = msgspec.convert(stored.value, ProgressValue)
        state = MoveState(value["state"])
    except ValueError as error:
        return Err(f"{stored.kind}/{stored.name}: {error}")
    writer = PeerAddress(value["writer"], value["writer_port"], value["writer_incarnation"])
    return Ok(
        MoveProgress(
            move=stored.name,
            plan=value["plan"],
            step=value["step"],
            state=state,
            reason=value["reason"],
            since=value["since"],
            writer=writer,
            version=stored.version,
        )
    )
