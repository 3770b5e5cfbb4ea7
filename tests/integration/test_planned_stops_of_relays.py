"""Planned stops of instances that relay, or use relays, while callers ask for long work."""

import unittest
from collections.abc import Sequence

import trio

from tests.common.staying_callers import Exchange
from tests.common.steering_group import Instance
from tests.common.stop_group import GRACE_S, ROUTE_TIMEOUT_S, TIMEOUT_SLACK_S, Stop, StopGroup
from tests.integration.test_planned_stops import LONG_WORK, PlannedStopCase

INSTANCES = 6
CUT_DOMAIN = "a-1"
RELAY_DOMAIN = "a-2"
SETTLE_S = 5.0
"""The time after a cut in which it is noticed and requests that it has broken end."""


class StopsOfRelaysTest(PlannedStopCase):
    async def cut(self, group: StopGroup) -> list[Instance]:
        """Cut a failure domain off, and wait until its instances use relays."""
        cut = [instance for instance in group.instances if instance.failure_domain == CUT_DOMAIN]
        await group.partition.cut([instance.address for instance in cut], "reset")
        await trio.sleep(SETTLE_S)
        return cut

    def relay(self, group: StopGroup) -> Instance:
        """Return an instance that relays for those of the failure domain that is cut off."""
        return next(
            instance for instance in group.instances if instance.failure_domain == RELAY_DOMAIN
        )

    def check_users(self, group: StopGroup, users: Sequence[Instance], stop: Stop) -> None:
        """Check that the stop of a relay ended no request that passed it, and cut none short."""
        addresses = [user.address for user in users]
        cut = [
            f"sent {exchange.sent_s - stop.signalled_s:.2f} s after the signal, ended"
            f" {exchange.ended_s - stop.signalled_s:.2f} s after it: {exchange}"
            for exchange in group.callers.exchanges
            if exchange.instance in addresses and self.is_cut(exchange, stop)
        ]
        self.assertEqual(cut, [])
        self.assertIn("event=relay-begins", stop.log)
        self.assertNotIn("event=stop-cuts", stop.log)

    def is_cut(self, exchange: Exchange, stop: Stop) -> bool:
        """Return whether a request has no answer of a backend server, though there was time."""
        is_beside = (
            stop.signalled_s - ROUTE_TIMEOUT_S <= exchange.sent_s
            and stop.signalled_s <= exchange.ended_s <= stop.signalled_s + GRACE_S + 1.0
        )
        is_late = exchange.ended_s >= exchange.sent_s + ROUTE_TIMEOUT_S - TIMEOUT_SLACK_S
        return is_beside and not is_late and exchange.status != 200

    def test_stop_of_a_relay(self) -> None:
        """Guards against requests that end with the instance that passes them on."""

        async def test(group: StopGroup) -> list[Stop]:
            cut = await self.cut(group)
            stop = await group.stop(self.relay(group))
            await trio.sleep(1.0)
            self.check_users(group, cut, stop)
            return [stop]

        self.run_with(LONG_WORK, test, instances=INSTANCES)

    def test_stop_of_a_frozen_relay(self) -> None:
        """Guards against requests sent late in the stop of a relay that could not tell of it."""

        async def test(group: StopGroup) -> list[Stop]:
            cut = await self.cut(group)
            relay = self.relay(group)
            relay.process.freeze()
            await trio.sleep(0.3)
            signalled_s = trio.current_time()
            relay.process.terminate()
            await trio.sleep(2.5)
            relay.process.thaw()
            stop = await group.stop(relay, signalled_s)
            await trio.sleep(1.0)
            self.check_users(group, cut, stop)
            return [stop]

        self.run_with(LONG_WORK, test, instances=INSTANCES)

    def test_stop_of_a_relay_whose_users_were_frozen(self) -> None:
        """Guards against requests of users that have not heard that their relay stops."""

        async def test(group: StopGroup) -> list[Stop]:
            cut = await self.cut(group)
            relay = self.relay(group)
            for user in cut:
                user.process.freeze()
            await trio.sleep(0.1)
            signalled_s = trio.current_time()
            relay.process.terminate()
            await trio.sleep(2.6)
            for user in cut:
                user.process.thaw()
            stop = await group.stop(relay, signalled_s)
            await trio.sleep(1.0)
            self.check_users(group, cut, stop)
            return [stop]

        self.run_with(LONG_WORK, test, instances=INSTANCES)

    def test_stop_of_an_instance_that_uses_relays(self) -> None:
        """Guards against requests over relays that the stop of their sender cuts."""

        async def test(group: StopGroup) -> list[Stop]:
            stop = await group.stop((await self.cut(group))[0])
            self.assertNotIn("event=stop-cuts", stop.log)
            return [stop]

        self.run_with(LONG_WORK, test, instances=INSTANCES)


if __name__ == "__main__":
    unittest.main()
