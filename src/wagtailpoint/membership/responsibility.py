"""Which instance does for all what one has to do."""

from wagtailpoint.membership.service import Membership
from wagtailpoint.rendezvous import rendezvous_score


def is_responsible(membership: Membership, task: str) -> bool:
    """Whether it is this instance: one, for all that see the same members live."""
    live = [member.address for member in membership.members() if member.state == "live"]
    own = membership.own.address
    return max(live, key=lambda member: rendezvous_score(task, member), default="") == own
