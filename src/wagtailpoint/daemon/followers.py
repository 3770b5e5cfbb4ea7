"""What an instance follows in the store, and who puts it in force."""

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
    """Make a follower of each kind.

    Args:
        platform: The store.
        peers: Asked while the store can't be reached.
        check: Notices when a watch waits in vain.
        random: For the jitter.
        state: Puts routes, backend servers and evacuations in force.
        quarantine: Takes in the requests that the store lists as quarantined.
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
        # Not checked: peers tell it, too, and each kind more makes the check of the others rarer.
        make_follower(QUARANTINE_KIND, quarantine.apply_listing, is_checked=False),
    ]
    return {follower.kind: follower for follower in followers}
