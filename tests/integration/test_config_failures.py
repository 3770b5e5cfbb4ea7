"""An accepted configuration is enforced everywhere in seconds, and no instance reverts it."""

import json
from collections.abc import Iterator, Sequence
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack, contextmanager
from functools import partial
from pathlib import Path
from tempfile import TemporaryDirectory
from threading import Event, Thread

import httpcore

from tests.common.deployment_case import DeploymentCase
from tests.common.deployment_process import EntryProcess
from tests.common.proxy_process import ProxyProcess
from tests.common.raw_caller import read_binding
from wagtailpoint.cli.exit_codes import ExitCode
from wagtailpoint.settings import check_settings
from wagtailpoint.verdict import Verdict

POLL_INTERVAL_S = 0.05
ENFORCED_TIMEOUT_S = 30.0


class VersionSampler:
    """Polls the version that each instance enforces, on a separate thread."""

    def __init__(self, *, entries: list[EntryProcess]) -> None:
        self._entries = entries
        self._over = Event()
        self._newest: dict[str, int] = {}
        self.samples = 0
        self.went_back: list[str] = []

    @contextmanager
    def running(self) -> Iterator["VersionSampler"]:
        thread = Thread(target=self._run)
        thread.start()
        try:
            yield self
        finally:
            self._over.set()
            thread.join()

    def _run(self) -> None:
        while not self._over.wait(POLL_INTERVAL_S):
            for entry in self._entries:
                self._sample(entry)

    def _sample(self, entry: EntryProcess) -> None:
        try:
            version = entry.page("status")["config_version"]
        except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException):
            return
        self.samples += 1
        before = self._newest.get(entry.settings.address, 0)
        # A starting instance reports version 0: it has no configuration and serves no requests.
        if version and version < before:
            self.went_back.append(f"{entry.settings.address}: {version} after {before}")
        self._newest[entry.settings.address] = max(version, before)


class ConfigCase(DeploymentCase):
    TIMINGS = {"watch_wait_s": 5.0}

    def setUp(self) -> None:
        super().setUp()
        sampler = VersionSampler(entries=self.running.entries)
        self.sampler = self.enterContext(sampler.running())
        self.addCleanup(self.check_samples)

    def tearDown(self) -> None:
        self.running.set_platform(down=False, lose_answers=0, stale_watch_s=0.0, slow_s=0.0)

    def check_samples(self) -> None:
        self.assertGreater(self.sampler.samples, 0)
        self.assertEqual(self.sampler.went_back, [])

    def adjust(self, max_rps: int, *options: str) -> tuple[int, str]:
        """Change a workspace with the command-line tool; return its exit code and output."""
        done = self.running.cli(
            "workspace", "adjust", "surakkha", "--set", f"max_rps={max_rps}", *options
        )
        return done.returncode, done.stdout + done.stderr

    def version(self) -> int:
        """Return the newest accepted version."""
        done = self.running.cli("get", "--json")
        return int(json.loads(done.stdout)["version"])

    def versions(self, entries: Sequence[EntryProcess] = ()) -> list[int]:
        """Return the version that each instance enforces."""
        asked = entries or self.running.entries
        return [entry.page("status")["config_version"] for entry in asked]

    def wait_in_force(self, version: int, entries: Sequence[EntryProcess] = ()) -> None:
        self.wait_until(lambda: min(self.versions(entries)) >= version, limit_s=ENFORCED_TIMEOUT_S)


class RacingOperatorsTest(ConfigCase):
    def test_operators_change_the_same_version(self) -> None:
        """Guards against a lost update of a workspace.

        Four operators read the same version and change the same workspace concurrently. If the last
        write won, the other changes would be lost silently; one change has to be accepted and the
        others rejected with a conflict that shows it.
        """
        base = self.version()
        with ThreadPoolExecutor(4) as pool:
            adjust = partial(self.adjust_from, base)
            outcomes = list(pool.map(adjust, (2101, 2102, 2103, 2104)))
        codes = sorted(code for code, _ in outcomes)
        self.assertEqual(codes, [ExitCode.OK] + [ExitCode.CONFLICT] * 3, outcomes)
        told = [text for code, text in outcomes if code == ExitCode.CONFLICT]
        self.assertTrue(all("max_rps=21" in text for text in told), told)
        self.assertEqual(self.version(), base + 1)
        self.wait_in_force(base + 1)

    def adjust_from(self, base: int, max_rps: int) -> tuple[int, str]:
        return self.adjust(max_rps, "--base-version", str(base), "--author", f"op-{max_rps}")

    def test_lost_answers_and_late_watches(self) -> None:
        """Guards against a committed change that is reported as failed, or made twice.

        The platform's answers to several writes are lost after the writes took effect, and its
        watches are stale. The store may neither retry such a write without a condition nor take it
        for failed.
        """
        base = self.version()
        for turn in range(3):
            self.running.set_platform(lose_answers=1 + turn, stale_watch_s=1.0)
            code, text = self.adjust(2200 + turn)
            self.assertEqual(code, ExitCode.OK, text)
        self.running.set_platform(lose_answers=0)
        self.assertEqual(self.version(), base + 3)
        self.wait_in_force(base + 3)


class OutageTest(ConfigCase):
    def test_all_instances_are_replaced_during_a_platform_outage(self) -> None:
        """Guards against replaced instances that serve nothing, or enforce an old configuration.

        After a change the platform fails, and all instances are killed and restarted one after the
        other. Instances store nothing locally and can't read the platform, so they have to get the
        configuration from their peers.
        """
        code, text = self.adjust(2301, "--wait")
        self.assertEqual(code, ExitCode.OK, text)
        version = self.version()
        self.running.set_platform(down=True)
        for entry in self.running.entries:
            entry.kill()
            self.replace(entry)
        self.assertEqual(self.versions(), [version] * 3)

    def test_instance_frozen_through_a_change_twice(self) -> None:
        """Guards against a paused instance that brings an old configuration back.

        An instance is frozen, a change is enforced on the others, and the instance resumes; then
        the same again. The instance sends its peers the version that it had when it was frozen,
        which they have to ignore.
        """
        frozen, *others = self.running.entries
        for turn in range(2):
            version = self.version() + 1
            frozen.freeze()
            code, text = self.adjust(2400 + turn)
            self.assertEqual(code, ExitCode.OK, text)
            self.wait_in_force(version, others)
            frozen.thaw()
            self.wait_in_force(version)

    def test_frozen_instance_resumes_during_a_platform_outage(self) -> None:
        """Guards against enforcing an old version until an outage of the platform ends.

        Two faults: an instance is frozen during a change and resumes when the platform is down. It
        has to get the change from its peers.
        """
        frozen = self.running.entries[1]
        frozen.freeze()
        code, text = self.adjust(2501)
        self.assertEqual(code, ExitCode.OK, text)
        version = self.version()
        self.wait_in_force(version, [self.running.entries[0], self.running.entries[2]])
        self.running.set_platform(down=True)
        frozen.thaw()
        self.wait_in_force(version)


class CutOffInstanceTest(ConfigCase):
    def test_cut_off_from_platform_and_peers(self) -> None:
        """Guards against reporting a change as enforced although one instance hasn't received it.

        An instance without peers loses its connection to the platform, a change is accepted, and
        the connection is restored. Nothing can reach the instance in between: it keeps serving with
        the configuration that it has, as its callers would be worse off without it, and an operator
        who waits for the change is shown its address.
        """
        with ExitStack() as stack:
            lone, proxy = self.start_lone(stack)
            self.running.set_instances([(lone.settings.address, lone.settings.failure_domain)])
            before = self.version()
            self.wait_until(lambda: lone.page("status")["config_version"] == before)
            proxy.order({"fault": "cut"})
            code, text = self.adjust(2601, "--wait", "--wait-timeout", "3")
            self.assertEqual(code, ExitCode.WAIT_TIMED_OUT, text)
            self.assertIn(lone.settings.address, text)
            self.wait_in_force(before + 1)
            self.assertEqual(lone.page("status")["config_version"], before)
            self.run_trio(partial(self.check_serves, lone))
            proxy.order({"fault": "pass"})
            self.wait_until(lambda: lone.page("status")["config_version"] == before + 1)
            self.running.set_instances([])

    async def check_serves(self, lone: EntryProcess) -> None:
        bound = await self.raw.release(lone.place, "lone-bound", await read_binding(lone.place))
        self.assertEqual(bound.verdict, Verdict.RAN)
        unbound = await self.raw.release(lone.place, "lone-unbound", None)
        self.assertEqual((unbound.status, unbound.verdict), (503, Verdict.NOT_RUN))

    def start_lone(self, stack: ExitStack) -> tuple[EntryProcess, ProxyProcess]:
        """Start an instance without peers and a proxy between it and the platform."""
        like = self.running.entries[0].settings
        directory = Path(stack.enter_context(TemporaryDirectory()))
        proxy = ProxyProcess(target=(like.platform[0].address, like.platform[0].port))
        stack.enter_context(proxy)
        value = {
            "address": f"{like.address.rpartition('.')[0]}.60",
            "port": like.port,
            "peer_port": like.peer_port + 1,
            "region": like.region,
            "failure_domain": like.failure_domain,
            "platform": [{"address": proxy.listens_on[0], "port": proxy.listens_on[1]}],
        }
        file = directory / "lone.json"
        file.write_text(json.dumps(value))
        lone = EntryProcess(settings=check_settings(value).unwrap(), settings_file=file)
        return stack.enter_context(lone), proxy
