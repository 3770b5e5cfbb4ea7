"""Slots of backend servers, shared by entries that don't see each other's requests."""

import time

import trio

from tests.common.deployment_case import DeploymentCase
from tests.common.deployment_process import EntryProcess

SLOTS = 3
WORKERS = 60
REQUESTS_EACH = 12


class SharedSlotsTest(DeploymentCase):
    AT_MOST_ONCE = False
    BACKEND_OPTIONS = ("--service-ms", "40")
    SETTINGS = {"share_slots": True}
    TIMINGS = {"seat_lease_s": 3.0, "share_loan_s": 3.0}

    def test_no_backend_server_gets_more_than_its_slots(self) -> None:
        """Several entries overload a backend server that each of them thinks has room.

        Symptom: a backend server with three slots has nine requests, and its queue grows, while
        every entry counts no more than three. Sequence: three entries are busy at the same time,
        and each fills the slots by its own count. Cause: nobody sees all; the sum was kept by
        nothing. Permits that belong to one instance at a time keep it.
        """

        async def press() -> None:
            async with trio.open_nursery() as nursery:
                for number in range(WORKERS):
                    place = self.running.entries[number % 3].place
                    nursery.start_soon(self.send_many, place, number)

        self.run_trio(press)
        self.assertEqual(self.overfull(), {})

    def test_the_others_use_the_slots_of_a_killed_entry(self) -> None:
        """The slots of a dead entry stay unused for good.

        Symptom: after an entry was killed the rest refuse what they had room for. Sequence: the
        entry holds seats; it is killed; nobody may spend its part. Cause: without a lease that
        ends, nobody could tell a dead holder from a silent one.
        """
        dead = self.running.entries[2]
        others = self.running.entries[:2]
        dead.kill()
        self.wait_until(lambda: len(self.seats_of(others)) == self.seats_in_all(), limit_s=60.0)
        self.replace(dead)
        self.wait_until(lambda: len(self.seats_of([dead])) > 0, limit_s=60.0)
        self.assertEqual(self.overfull(), {})

    async def send_many(self, place: tuple[str, int], number: int) -> None:
        for index in range(REQUESTS_EACH):
            path = f"/deposits/balance/{number}-{index}-{time.monotonic_ns()}"
            await self.raw.send(place, path, method="GET", deadline_s=2.0)

    def overfull(self) -> dict[str, int]:
        """Backend servers that had more requests at a time than slots."""
        records = self.running.backends["deposit-desk"].records()
        return {
            str(server): record["most_present"]
            for server, record in records.items()
            if record["most_present"] > SLOTS
        }

    def seats_of(self, entries: list[EntryProcess]) -> list[str]:
        return [seat["name"] for entry in entries for seat in entry.page("status")["seats"]]

    def seats_in_all(self) -> int:
        regions = [
            value for key, value in self.running.objects.items() if key.startswith("region/")
        ]
        return sum(2 * len(region["failure_domains"]) for region in regions)
