"""Planned stops beside an outage of the store, a start, and servers that leave."""

import unittest

import trio

from tests.common.steering_group import Instance
from tests.common.stop_group import CALLERS, Stop, StopGroup
from tests.integration.test_planned_stops import LONG_WORK, PlannedStopCase

OUTAGE_S = 1.0
AFTER_START_S = (0.0, 0.2, 0.6)
"""The times from the first line of a process to its SIGTERM: before and after it is ready."""

LEAVING_SERVERS = 4
WORK_S = 4.0


class StopsBesideFaultsTest(PlannedStopCase):
    def test_stop_during_an_outage_of_the_store(self) -> None:
        """Guards against a stop that waits for the store instead of its callers."""

        async def test(group: StopGroup) -> list[Stop]:
            group.store.refusal_status = 503
            group.store.end_watches()
            await trio.sleep(OUTAGE_S)
            stop = await group.stop(group.instances[0])
            group.store.refusal_status = None
            return [stop]

        self.run_with(LONG_WORK, test)

    def test_stop_right_after_a_start(self) -> None:
        """Guards against requests that are cut by the stop of an instance that has just begun."""

        async def test(group: StopGroup) -> list[Stop]:
            instance = group.instances[0]
            stops = [await group.stop(instance)]
            for after_s in AFTER_START_S:
                starts = self.count_starts(instance)
                instance.process.start()
                while self.count_starts(instance) == starts:  # noqa: ASYNC110
                    await trio.sleep(0.01)
                await trio.sleep(after_s)
                stops.append(await group.stop(instance))
            return stops

        self.run_with(LONG_WORK, test)

    def count_starts(self, instance: Instance) -> int:
        """Return how many processes of an instance have begun to receive signals."""
        return instance.process.log.count("event=started")

    def test_servers_that_drain_or_go_answer_what_they_have(self) -> None:
        """Guards against requests that are cut because their server drains or its entry is gone."""

        async def test(group: StopGroup) -> list[Stop]:
            leaving = group.servers.server_ids[:LEAVING_SERVERS]
            began = trio.current_time()
            for number, server in enumerate(leaving):
                entry = group.store.spec("servers", server)
                if number % 2:
                    group.store.delete("servers", server)
                else:
                    group.store.put("servers", server, {**entry, "State": "draining"})
            await trio.sleep(WORK_S)
            exchanges = [each for each in group.callers.exchanges if each.ended_s >= began]
            self.assertEqual({exchange.status for exchange in exchanges}, {200})
            # Idempotent requests are sent to a second server, too, if the first is slow.
            writes = {exchange.request_id for exchange in exchanges if not exchange.idempotent}
            cancelled = [
                entry
                for entry in group.servers.cancelled
                if entry.ended_s >= began and entry.request_id in writes
            ]
            self.assertEqual(cancelled, [])
            return []

        # A backend server that could not run the requests of all callers may be full.
        self.run_with(LONG_WORK, test, slots=2 * CALLERS)


if __name__ == "__main__":
    unittest.main()
