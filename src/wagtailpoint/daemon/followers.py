"""Followers of the kinds of stored objects that an instance on the platform needs."""

import math
from collections.abc import Callable, Mapping
from random import Random
from typing import Final

from wagtailpoint.daemon.shared_quarantine import SharedQuarantine
from wagtailpoint.daemon.store_state import StoreState
from wagtailpoint.discovery.follower import KindFollower
from wagtailpoint.discovery.kind_state import PeerStates
from wagtailpoint.discovery.store_check import StoreCheck
from wagtailpoint.discovery.store_era import StoreEra
from wagtailpoint.platform.documents import CONFIG_KIND, EVACUATIONS_KIND, SERVERS_KIND
from wagtailpoint.ports.platform import Platform
from wagtailpoint.quarantine.stored import KIND as QUARANTINE_KIND

SERVERS_CARRY_S: Final = 10.0
"""Backend servers write their entries again within about two heartbeats of the store's return, and
the entries of those that have ended expire after three."""

EVACUATIONS_CARRY_S: Final = 60.0
"""Operators write again what the store lost, but do not repeat what they had taken back, so that
nothing would end an evacuation that was lost and taken back."""


def make_followers(
    *,
    platform: Platform,
    peers: PeerStates,
    check: StoreCheck,
    era: StoreEra,
    random: Random,
    state: StoreState,
    quarantine: SharedQuarantine,
    on_change: Callable[[], None],
) -> Mapping[str, KindFollower]:
    """Return the follower of each kind, by kind.

    Args:
        platform: The object store.
        peers: Asked for the state while the store is unreachable.
        check: Detects watches that miss changes.
        era: The newest era of the store.
        random: For the jitter.
        state: Applies routes, backend servers and evacuations.
        quarantine: Applies the list of quarantined requests.
        on_change: Called after every change.
    """

    def make_follower(
        kind: str,
        apply: Callable[[KindFollower], None],
        *,
        can_expire: bool = False,
        carry_s: float = math.inf,
        is_checked: bool = True,
    ) -> KindFollower:
        def apply_change() -> None:
            apply(made)
            on_change()

        made: KindFollower = KindFollower(
            kind=kind,
            platform=platform,
            peers=peers,
            check=check,
            on_change=apply_change,
            random=random,
            era=era,
            can_expire=can_expire,
            carry_s=carry_s,
            is_checked=is_checked,
            watching=False,
        )
        return made

    followers = [
        # Versions order configurations: an older one is never put in force.
        make_follower(CONFIG_KIND, lambda follower: state.apply_config(follower.objects)),
        make_follower(
            SERVERS_KIND,
            lambda follower: state.apply_servers(follower.objects),
            can_expire=True,
            carry_s=SERVERS_CARRY_S,
        ),
        make_follower(
            EVACUATIONS_KIND,
            lambda follower: state.apply_evacuations(follower.objects),
            carry_s=EVACUATIONS_CARRY_S,
        ),
        # Not checked: peers broadcast quarantined requests too, and every further kind makes the
        # checks of the others less frequent.
        make_follower(
            QUARANTINE_KIND,
            lambda follower: quarantine.apply_listing(follower.state),
            is_checked=False,
        ),
    ]
    return {follower.kind: follower for follower in followers}


def follower_gauges(followers: Mapping[str, KindFollower]) -> dict[str, float]:
    """Return the current values of the gauges of all followers together."""
    return {
        "watching": all(follower.is_watching for follower in followers.values()),
        "carried_over": sum(len(follower.carried) for follower in followers.values()),
    }
