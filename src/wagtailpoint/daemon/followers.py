"""Followers of the kinds of stored objects that an instance on the platform needs."""

from collections.abc import Callable, Mapping
from random import Random

from wagtailpoint.daemon.shared_quarantine import SharedQuarantine
from wagtailpoint.daemon.store_state import StoreState
from wagtailpoint.discovery.follower import KindFollower
from wagtailpoint.discovery.kind_state import KindState, PeerStates
from wagtailpoint.discovery.store_check import StoreCheck
from wagtailpoint.platform.documents import CONFIG_KIND, EVACUATIONS_KIND, SERVERS_KIND
from wagtailpoint.ports.platform import Platform
from wagtailpoint.quarantine.stored import KIND as QUARANTINE_KIND


def make_followers(
    *,
    platform: Platform,
    peers: PeerStates,
    check: StoreCheck,
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
        random: For the jitter.
        state: Applies routes, backend servers and evacuations.
        quarantine: Applies the list of quarantined requests.
        on_change: Called after every change.
    """

    def make_follower(
        kind: str,
        apply: Callable[[KindState], None],
        *,
        can_expire: bool = False,
        is_checked: bool = True,
    ) -> KindFollower:
        def apply_change() -> None:
            apply(made.state)
            on_change()

        made: KindFollower = KindFollower(
            kind=kind,
            platform=platform,
            peers=peers,
            check=check,
            on_change=apply_change,
            random=random,
            can_expire=can_expire,
            is_checked=is_checked,
            watching=False,
        )
        return made

    followers = [
        make_follower(CONFIG_KIND, lambda kind_state: state.apply_config(kind_state.objects)),
        make_follower(
            SERVERS_KIND,
            lambda kind_state: state.apply_servers(kind_state.objects),
            can_expire=True,
        ),
        make_follower(
            EVACUATIONS_KIND, lambda kind_state: state.apply_evacuations(kind_state.objects)
        ),
        # Not checked: peers broadcast quarantined requests too, and every further kind makes the
        # checks of the others less frequent.
        make_follower(QUARANTINE_KIND, quarantine.apply_listing, is_checked=False),
    ]
    return {follower.kind: follower for follower in followers}
