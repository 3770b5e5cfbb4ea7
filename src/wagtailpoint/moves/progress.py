"""The progress of a move, stored in the platform and written by the holder of the moves' lease."""

from enum import Enum
from hashlib import blake2b
from typing import Any, Final, NamedTuple, TypedDict

from result import Err, Ok, Result

from wagtailpoint.config.model import Move
from wagtailpoint.errors import describe_error
from wagtailpoint.ports.peers import PeerAddress
from wagtailpoint.ports.platform import StoredObject
from wagtailpoint.revision import Revision
from wagtailpoint.untrusted_input import read_value

PROGRESS_KIND: Final = "move-progress"
NOT_BEGUN: Final = -1
"""The step before the first: all traffic stays with the old side."""


class MoveState(Enum):
    """The current state of a move."""

    RUNNING = "running"
    HOLDING = "holding"
    """The step is not advanced because the receiving side is not warm."""
    PAUSED = "paused"
    ABORTED = "aborted"
    DONE = "done"


class ProgressValue(TypedDict):
    """The stored value of a move's progress.

    Attributes:
        write: A unique identifier of the write, by which the writer recognises it.
        fence: The fencing token of the writer's lease.
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
    """The progress of a move.

    Attributes:
        move: The name of the move.
        plan: The fingerprint of the plan that the progress belongs to. A move that is deleted and
            planned again under the same name must not inherit the progress.
        step: The index of the current step; ``NOT_BEGUN`` before the first.
        state: The state of the move.
        reason: The reason for the state, for operators.
        since: When the step began, in seconds since the epoch by the writer's clock; for operators.
        writer: The address of the instance that wrote it, to which other instances send reports.
        version: The version of the stored object; the progress with the greater one is newer.
    """

    move: str
    plan: str
    step: int
    state: MoveState
    reason: str
    since: float
    writer: PeerAddress
    version: Revision

    def to_value(self, write: str) -> dict[str, Any]:
        """Return the value to store, without the fence, which the lease adds."""
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
    """Return the fingerprint of what a move shifts, and in which steps."""
    plan = (move.workspace, move.service, move.from_group, move.to_group, move.steps)
    return blake2b(repr(plan).encode(), digest_size=8).hexdigest()


def read_progress(stored: StoredObject) -> Result[MoveProgress, str]:
    """Parse a stored progress; the error names the object and what is wrong with it."""
    read = read_value(stored.value, ProgressValue)
    if isinstance(read, Err):
        return Err(f"{stored.kind}/{stored.name}: {read.err_value}")
    value = read.ok_value
    try:
        state = MoveState(value["state"])
    except ValueError as error:
        return Err(f"{stored.kind}/{stored.name}: {describe_error(error)}")
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
