"""Choice of the one instance that does a task on behalf of all."""

from wagtailpoint.membership.service import Membership
from wagtailpoint.rendezvous import rendezvous_score


def is_responsible(membership: Membership, task: str) -> bool:
    """Return whether this instance does a task.

    All instances that see the same members live choose the same one.
    """
    live = [
        member.address for member in membership.members() if member.state in ("live", "isolated")
    ]
    own = membership.own.address
    return max(live, key=lambda member: rendezvous_score(task, member), default="") == own
