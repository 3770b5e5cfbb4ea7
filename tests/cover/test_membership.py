"""The membership under starts, stops, deaths, freezes and cuts."""

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

    def test_own_facts_reach_all(self) -> None:
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

    def test_leaving_reaches_all(self) -> None:
        async def scenario(group: MemberGroup) -> None:
            await group.start_all(9)
            group.instances[VICTIM].membership.leave()
            self.assertLess(await group.wait_until(lambda: group.all_see(VICTIM, "leaving")), 2)

        run_group(scenario)

    def test_small_changes_of_load_are_not_told_on(self) -> None:
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

    def test_load_that_jumps_is_told_at_once_but_not_all_the_time(self) -> None:
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

    def test_all_name_the_same_watchers(self) -> None:
        async def scenario(group: MemberGroup) -> None:
            await group.start_all(9)
            named = {
                tuple(member.address for member in i.membership.watchers("kolkata-a", 2))
                for i in group.instances.values()
            }
            self.assertEqual(named, {("127.0.0.1", "127.0.0.2")})

        run_group(scenario)

    def test_changes_wake_who_waits_for_them(self) -> None:
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
    def test_death_is_noticed_by_all(self) -> None:
        """A dead instance stays in lookups for good.

        Sequence: an instance dies without a word; nobody connects to it for a request. Cause:
        without probes nobody would notice.
        """

        async def scenario(group: MemberGroup) -> None:
            await group.start_all(9)
            group.instances.pop(VICTIM).kill()
            await group.wait_until(lambda: group.all_see(VICTIM, "dead"))

        run_group(scenario)

    def test_farewell_needs_no_suspicion(self) -> None:
        async def scenario(group: MemberGroup) -> None:
            await group.start_all(9)
            group.instances[VICTIM].membership.announce_exit()
            group.instances.pop(VICTIM).kill()
            self.assertLess(await group.wait_until(lambda: group.all_see(VICTIM, "dead")), 2)

        run_group(scenario)

    def test_frozen_instance_comes_back_by_itself(self) -> None:
        """An instance that was paused is taken for dead for good, or takes all others for dead.

        Sequence: an instance freezes until it is taken for dead, and wakes with its buffers full
        of old messages. Cause: its old facts do not beat the suspicion; only a higher sequence
        does.
        """

        async def scenario(group: MemberGroup) -> None:
            await group.start_all(9)
            group.network.freeze(VICTIM)
            await group.wait_until(lambda: group.all_see(VICTIM, "dead"))
            group.network.thaw(VICTIM)
            await group.wait_until(lambda: group.all_see_all("live"))

        run_group(scenario)

    def test_half_cut_does_not_kill(self) -> None:
        """A working instance drops out of lookups because one link of many is cut.

        Sequence: one instance cannot reach another; all the rest reach both. Cause: a probe that
        only goes straight takes the state of one link for the state of an instance.
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

    def test_restart_replaces_the_former_process_at_once(self) -> None:
        """A replacement at the same address is taken for the process that died before it.

        Sequence: an instance dies and its replacement starts at the same address, with a wall
        clock that went back, before anyone noticed. Cause: its facts would look older than its
        predecessor's, which the others still remember.
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

    def test_late_message_does_not_bring_the_dead_back(self) -> None:
        """An instance that left long ago comes back into lookups.

        Sequence: an instance tells of itself while a peer is frozen, then leaves; the peer wakes
        and reads what it was told before. Cause: a fact that counts by its arrival instead of by
        its sequence.
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

    def test_region_cut_and_heal(self) -> None:
        """After a cut of an hour a region stays lost, or its healing drops everyone for a moment.

        Sequence: a region is cut off until each side takes the other for dead; an hour later the
        cut heals. Cause: the dead are no longer probed, so nobody would find out; and each side
        holds that the other is dead, which must not be told on as if it were true of all.
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
