"""Which instance does for all what one has to do."""

from wagtailpoint.membership.service import Membership
from wagtailpoint.rendezvous import rendezvous_score


def is_responsible(membership: Membership, task: str) -> bool:
    """Whether it is this instance: one, for all that see the same members live."""
    live = [each.address for each in membership.members() if each.state == "live"]
    own = membership.own.address
    return max(live, key=lambda each: rendezvous_score(task, each), default="") == own
