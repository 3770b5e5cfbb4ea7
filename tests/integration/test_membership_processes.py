"""Links, membership and configuration between real processes."""

import unittest

from bench.member_group import ProcessGroup, Reports

QUICK = {"heartbeat_interval_s": 0.3, "suspicion_periods": 2.0, "retry_interval_s": 0.5}
COUNT = 4


class MembershipProcessesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.group = ProcessGroup(count=COUNT, settings=QUICK)
        self.enterContext(self.group)
        self.group.until_all_live()

    def all_have_version(self, version: int) -> None:
        self.group.until(lambda now: all(report["version"] == version for report in now.values()))

    def test_killed_process_is_replaced_at_its_address(self) -> None:
        """A replacement cannot serve, or is taken for the process that died.

        Sequence: a process is killed and taken for dead; one is started at the same address while
        the platform is out. Cause: it has nothing but its peers to get the configuration from, and
        they remember its predecessor.
        """
        self.group.command(self.group.addresses[0], "offer 5")
        self.all_have_version(5)
        victim = self.group.addresses[-1]
        former = self.group.reports()[victim]["incarnations"][victim]
        self.group.kill(victim)
        self.group.until(
            lambda now: all(report["states"][victim] == "dead" for report in now.values())
        )
        self.group.start(COUNT)
        reports = self.group.until_all_live()
        seen = {report["incarnations"][victim] for report in reports.values()}
        self.assertEqual(len(seen), 1)
        self.assertNotIn(former, seen)
        self.all_have_version(5)

    def test_frozen_process_comes_back(self) -> None:
        """A process that was paused takes all others for dead, or stays dead to them.

        Sequence: a process is stopped until the others take it for dead, misses a change, and goes
        on. Cause: its links are full of what was meant for the time before, and its view is old.
        """
        victim = self.group.addresses[1]
        self.group.freeze(victim)

        def dead_to_all(now: Reports) -> bool:
            return all(report["states"][victim] == "dead" for report in now.values())

        self.group.until(dead_to_all, but=victim)
        self.group.command(self.group.addresses[0], "offer 7")
        self.group.thaw(victim)
        self.group.until_all_live()
        self.all_have_version(7)
