"""Configuration changes through the HTTP client and a platform that runs as a process."""

import unittest
from collections import Counter
from collections.abc import Awaitable, Callable

import trio
from loguru import logger

from tests.common.platform_process import PlatformProcess
from wagtailpoint.adapters.platform_http import HttpPlatform
from wagtailpoint.config.manifest import Snapshot
from wagtailpoint.config.store import ConfigStore
from wagtailpoint.config.watcher import ConfigWatcher
from wagtailpoint.ports.platform import Platform

LIMIT_S = 60
TIMEOUT_S = 5.0


def new_store(platform: Platform) -> ConfigStore:
    return ConfigStore(platform=platform, clock_wall=lambda: 0.0)


async def put(store: ConfigStore, keys: list[str], base: int) -> Snapshot:
    outcome = await store.apply(
        puts={key: [key, base] for key in keys},
        deletes=[],
        base_version=base,
        author="ann",
        message="",
    )
    return outcome.unwrap()


class ConfigOverHttpTest(unittest.TestCase):
    def setUp(self) -> None:
        logger.disable("wagtailpoint")
        self.addCleanup(logger.enable, "wagtailpoint")
        self.process = self.enterContext(PlatformProcess())

    def run_with(self, test: Callable[[HttpPlatform], Awaitable[None]]) -> None:
        async def run() -> None:
            with trio.fail_after(LIMIT_S):
                addresses = [self.process.listens_on]
                async with HttpPlatform(addresses=addresses, timeout_s=TIMEOUT_S) as platform:
                    await test(platform)

        trio.run(run)

    def calls(self) -> Counter[str]:
        """Return the number of calls so far, by ``METHOD KIND``."""
        return Counter(
            {
                f"{method} {kind}": count
                for kind, methods in self.process.counts()["calls"].items()
                for method, count in methods.items()
            }
        )

    def test_change_is_committed_once_though_all_answers_to_its_writes_are_lost(self) -> None:
        """Guards against reporting a committed change as failed, after which it is applied twice.

        Contents, manifest and head are written, and the answer to each write is lost. The store has
        to read back to find that the change is committed.
        """

        async def test(platform: HttpPlatform) -> None:
            store = new_store(platform)
            await put(store, ["service/a"], base=0)
            self.process.set_mode(lose_answers=3)
            applied = await put(store, ["service/a"], base=1)
            self.assertEqual(applied.change.version, 2)
            self.assertEqual((await store.read()).unwrap(), applied)
            self.assertEqual(len((await store.history(max_changes=9)).unwrap()), 2)

        self.run_with(test)

    def test_platform_calls_of_a_change(self) -> None:
        """Checks the numbers of calls stated in docs/design/configuration.md."""

        async def test(platform: HttpPlatform) -> None:
            await put(new_store(platform), [f"service/{n}" for n in range(20)], base=0)
            reader, operator = new_store(platform), new_store(platform)
            known = (await reader.read()).unwrap()
            await operator.read()
            before = self.calls()
            await put(operator, ["service/1", "service/2"], base=1)
            applied = self.calls()
            self.assertEqual(
                applied - before,
                {
                    "GET config-head": 1,
                    "GET config-manifest": 1,
                    "PUT config-content": 2,
                    "PUT config-manifest": 1,
                    "PUT config-head": 1,
                },
            )
            await reader.read_since(known)
            self.assertEqual(
                self.calls() - applied,
                {"GET config-head": 1, "GET config-manifest": 1, "GET config-content": 2},
            )

        self.run_with(test)

    def test_watcher_follows_through_an_outage_and_stale_watches(self) -> None:
        async def test(platform: HttpPlatform) -> None:
            versions: list[int] = []
            changed = trio.Condition()

            async def wait_for(version: int) -> None:
                async with changed:
                    while version not in versions:
                        await changed.wait()

            async def record(snapshot: Snapshot) -> None:
                async with changed:
                    versions.append(snapshot.change.version)
                    changed.notify_all()

            async with trio.open_nursery() as nursery:
                watcher = ConfigWatcher(
                    store=new_store(platform),
                    platform=platform,
                    on_snapshot=lambda snapshot: nursery.start_soon(record, snapshot),
                )
                nursery.start_soon(watcher.run)
                store = new_store(platform)
                await put(store, ["service/a"], base=0)
                await wait_for(1)
                before = self.calls()
                await put(store, ["service/a"], base=1)
                await wait_for(2)
                self.process.set_mode(down=True)
                self.assertTrue((await store.read()).is_err())
                self.process.set_mode(down=False, stale_watch_s=0.2)
                await put(store, ["service/a"], base=2)
                await wait_for(3)
                self.assertGreater(self.calls()["WATCH config-head"], before["WATCH config-head"])
                self.assertEqual(versions, [1, 2, 3])
                nursery.cancel_scope.cancel()

        self.run_with(test)
