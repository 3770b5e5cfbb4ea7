"""Membership during starts, stops, deaths, freezes and network partitions."""

import unittest

import trio

from tests.common.member_group import MemberGroup, run_group
from wagtailpoint.membership import MembershipSettings

VICTIM = "127.0.0.5"


class OrdinaryMembershipTest(unittest.TestCase):
    def test_starting_instances_find_each_other_from_the_seeds(self) -> None:
        async def scenario(group: MemberGroup) -> None:
            await group.start_all(9)

        run_group(scenario)

    def test_published_state_reaches_all_instances(self) -> None:
        async def scenario(group: MemberGroup) -> None:
            await group.start_all(9)
            group.instances[VICTIM].membership.publish(config_version=7, epoch=3)

            def known() -> bool:
                members = [i.membership.member(VICTIM) for i in group.instances.values()]
                return all(
                    member and (member.config_version, member.epoch) == (7, 3) for member in members
                )

            self.assertLess(await group.wait_until(known), 2)

        run_group(scenario)

    def test_leaving_state_reaches_all_instances(self) -> None:
        async def scenario(group: MemberGroup) -> None:
            await group.start_all(9)
            group.instances[VICTIM].membership.leave()
            self.assertLess(await group.wait_until(lambda: group.all_see(VICTIM, "leaving")), 2)

        run_group(scenario)

    def test_small_changes_of_load_are_not_published(self) -> None:
        async def scenario(group: MemberGroup) -> None:
            await group.start_all(3)
            membership = group.instances["127.0.0.2"].membership
            membership.publish(load=0.5)
            membership.publish(load=0.52)
            self.assertEqual(membership.own.load, 0.5)
            membership.publish(load=0.9)
            self.assertEqual(membership.own.load, 0.5)
            await trio.sleep(5)
            membership.publish(load=0.9)
            self.assertEqual(membership.own.load, 0.9)

        run_group(scenario)

    def test_large_change_of_load_is_published_at_once_with_limited_rate(self) -> None:
        async def scenario(group: MemberGroup) -> None:
            await group.start_all(3)
            membership = group.instances["127.0.0.2"].membership
            membership.publish(load=0.1)
            await trio.sleep(1.1)
            membership.publish(load=0.6)
            self.assertEqual(membership.own.load, 0.6)
            membership.publish(load=0.1)
            self.assertEqual(membership.own.load, 0.6)

        run_group(scenario, settings=MembershipSettings(urgent_load_step=0.25))

    def test_all_instances_choose_the_same_watchers(self) -> None:
        async def scenario(group: MemberGroup) -> None:
            await group.start_all(9)
            chosen = {
                tuple(member.address for member in i.membership.watchers("kolkata-a", 2))
                for i in group.instances.values()
            }
            self.assertEqual(chosen, {("127.0.0.1", "127.0.0.2")})

        run_group(scenario)

    def test_change_wakes_waiting_task_and_runs_callback(self) -> None:
        async def scenario(group: MemberGroup) -> None:
            await group.start_all(3)
            calls: list[int] = []
            membership = group.instances["127.0.0.1"].membership
            membership.on_change(lambda: calls.append(1))
            group.instances["127.0.0.2"].membership.leave()
            with trio.fail_after(30):
                await membership.wait_changed()
            self.assertEqual(calls, [1])

        run_group(scenario)


class FailingMembershipTest(unittest.TestCase):
    def test_seed_that_is_down_does_not_hold_up_the_join(self) -> None:
        """Guards against an instance that stays alone until a seed that is down has timed out."""
        settings = MembershipSettings()
        sync_timeout_s = 2 * settings.reply_timeout_s

        async def scenario(group: MemberGroup) -> None:
            for address in ("127.0.0.2", "127.0.0.3"):
                group.start(address)
            joined_after_s = await group.wait_until(lambda: group.all_see_all("live"))
            self.assertLess(joined_after_s, sync_timeout_s)

        for first_seed in range(20):
            with self.subTest(first_seed=first_seed):
                run_group(scenario, settings=settings, first_seed=first_seed)

    def test_death_is_noticed_by_all_instances(self) -> None:
        """Guards against a dead instance that stays in lookup answers permanently.

        An instance dies without announcing its exit, and no request is sent to it: without probes
        no other instance would notice.
        """

        async def scenario(group: MemberGroup) -> None:
            await group.start_all(9)
            group.instances.pop(VICTIM).kill()
            await group.wait_until(lambda: group.all_see(VICTIM, "dead"))

        run_group(scenario)

    def test_announced_exit_needs_no_suspicion(self) -> None:
        async def scenario(group: MemberGroup) -> None:
            await group.start_all(9)
            group.instances[VICTIM].membership.announce_exit()
            group.instances.pop(VICTIM).kill()
            self.assertLess(await group.wait_until(lambda: group.all_see(VICTIM, "dead")), 2)

        run_group(scenario)

    def test_frozen_instance_becomes_live_again(self) -> None:
        """Guards against a paused instance that stays dead to others, or sees all others as dead.

        An instance freezes until it is declared dead, and resumes with buffers full of old
        messages. Its old facts do not override the suspicion; only a higher sequence does.
        """

        async def scenario(group: MemberGroup) -> None:
            await group.start_all(9)
            group.network.freeze(VICTIM)
            await group.wait_until(lambda: group.all_see(VICTIM, "dead"))
            group.network.thaw(VICTIM)
            await group.wait_until(lambda: group.all_see_all("live"))

        run_group(scenario)

    def test_one_broken_link_causes_no_suspicion(self) -> None:
        """Guards against a working instance that leaves lookup answers because one link is broken.

        One instance cannot reach another, while all the rest reach both. Direct probes alone
        cannot tell a broken link from a dead instance.
        """

        async def scenario(group: MemberGroup) -> None:
            await group.start_all(9)
            group.network.cut(["127.0.0.1"], [VICTIM])
            for _ in range(300):
                await trio.sleep(0.2)
                views = [i.membership.members() for i in group.instances.values()]
                self.assertFalse(any(member.suspect for view in views for member in view))
                self.assertTrue(group.all_see_all("live"))

        run_group(scenario)

    def test_restarted_instance_replaces_the_former_process(self) -> None:
        """Guards against a replacement that is mistaken for the dead process at its address.

        An instance dies, and before the death is noticed its replacement starts at the same
        address with a wall clock that was set back. Its facts would look older than those of the
        former process, which the other instances still know.
        """

        async def scenario(group: MemberGroup) -> None:
            await group.start_all(9)
            former = group.instances[VICTIM]
            for _ in range(3):
                former.membership.publish(epoch=former.membership.own.epoch + 1)
            await trio.sleep(2)
            former.kill()
            await trio.sleep(0.1)
            replacement = group.start(VICTIM, wall_s=5)

            def replaced() -> bool:
                members = [i.membership.member(VICTIM) for i in group.instances.values()]
                return all(
                    member is not None
                    and member.incarnation == replacement.incarnation
                    and member.state == "live"
                    for member in members
                )

            self.assertLess(await group.wait_until(replaced), 5)

        run_group(scenario)

    def test_delayed_message_does_not_undo_a_leave(self) -> None:
        """Guards against an instance that returns to lookup answers after it left.

        An instance publishes its state while a peer is frozen, then leaves. The peer resumes and
        reads the older state, which would win if facts were ordered by arrival and not by their
        sequence.
        """

        async def scenario(group: MemberGroup) -> None:
            await group.start_all(9)
            group.network.freeze("127.0.0.9")
            group.instances[VICTIM].membership.publish(epoch=9)
            await trio.sleep(1)
            group.instances[VICTIM].membership.leave()
            await trio.sleep(1)
            group.network.thaw("127.0.0.9")
            for _ in range(100):
                await trio.sleep(0.1)
                states = group.instances["127.0.0.8"].states()
                self.assertEqual(states[VICTIM], "leaving")
            await group.wait_until(lambda: group.all_see(VICTIM, "leaving"))

        run_group(scenario)

    def test_partitioned_region_rejoins(self) -> None:
        """Guards against a region that stays lost, or disturbs the others, after a partition heals.

        A region is partitioned until each side has declared the other dead; long afterwards the
        partition heals. Dead members are not probed, so without reconnection neither side would
        notice. Gossip of deaths would make each side drop its own live members for a moment.
        """

        async def scenario(group: MemberGroup) -> None:
            await group.start_all(9)
            isolated = ["127.0.0.7", "127.0.0.8", "127.0.0.9"]
            remaining = [address for address in group.instances if address not in isolated]
            group.network.cut_apart(isolated, remaining)
            await group.wait_until(
                lambda: all(
                    group.instances[observer].states()[observed] == "dead"
                    for observer in remaining
                    for observed in isolated
                )
            )
            await trio.sleep(900)
            group.network.heal()

            def own_side_lives() -> bool:
                return all(
                    group.instances[observer].states()[observed] == "live"
                    for side in (remaining, isolated)
                    for observer in side
                    for observed in side
                )

            with trio.fail_after(30):
                while not group.all_see_all("live"):
                    self.assertTrue(own_side_lives())
                    await trio.sleep(0.05)

        run_group(scenario)
