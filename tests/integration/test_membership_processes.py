"""Peer links, membership and configuration distribution between real processes."""

import unittest

from bench.member_group import ProcessGroup, Reports

QUICK = {"heartbeat_interval_s": 0.3, "suspicion_periods": 2.0, "retry_interval_s": 0.5}
COUNT = 4


class MembershipProcessesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.group = ProcessGroup(count=COUNT, settings=QUICK)
        self.enterContext(self.group)
        self.group.wait_until_all_live()

    def all_have_version(self, version: int) -> None:
        self.group.wait_until(
            lambda now: all(report["version"] == version for report in now.values())
        )

    def test_killed_process_is_replaced_at_its_address(self) -> None:
        """Guards against a replacement that cannot serve, or is mistaken for the dead process.

        A process is killed and declared dead, and another is started at its address without a
        platform. Its peers are its only source of the configuration, and still know the former
        process.
        """
        self.group.command(self.group.addresses[0], "offer 5")
        self.all_have_version(5)
        victim = self.group.addresses[-1]
        former = self.group.reports()[victim]["incarnations"][victim]
        self.group.kill(victim)
        self.group.wait_until(
            lambda now: all(report["states"][victim] == "dead" for report in now.values())
        )
        self.group.start(COUNT)
        reports = self.group.wait_until_all_live()
        seen = {report["incarnations"][victim] for report in reports.values()}
        self.assertEqual(len(seen), 1)
        self.assertNotIn(former, seen)
        self.all_have_version(5)

    def test_frozen_process_becomes_live_again(self) -> None:
        """Guards against a paused process that sees all others as dead, or stays dead to them.

        A process is stopped until the others declare it dead, misses a change, and resumes. Its
        links are full of old messages, and its view is stale.
        """
        victim = self.group.addresses[1]
        self.group.freeze(victim)

        def dead_to_all(now: Reports) -> bool:
            return all(report["states"][victim] == "dead" for report in now.values())

        self.group.wait_until(dead_to_all, except_address=victim)
        self.group.command(self.group.addresses[0], "offer 7")
        self.group.thaw(victim)
        self.group.wait_until_all_live()
        self.all_have_version(7)
