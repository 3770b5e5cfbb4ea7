"""Who is there: instances find each other, notice deaths, and tell on a few facts of each."""

from wagtailpoint.membership.member import Member, MemberState
from wagtailpoint.membership.service import Membership, MembershipSettings

__all__ = ["Member", "MemberState", "Membership", "MembershipSettings"]
