"""Cluster membership: discovery of instances, failure detection, and gossip of their state."""

from wagtailpoint.membership.config_spread import ConfigSpread, ConfigSpreadSettings
from wagtailpoint.membership.member import Member, MemberState
from wagtailpoint.membership.service import Membership
from wagtailpoint.membership.settings import MembershipSettings

__all__ = [
    "ConfigSpread",
    "ConfigSpreadSettings",
    "Member",
    "MemberState",
    "Membership",
    "MembershipSettings",
]
