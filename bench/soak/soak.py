"""Plays a schedule on a deployment while callers use it, and checks what was seen."""

import signal
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory
from typing import Final, NamedTuple

import trio
from tests.common.fault_proxy import Fault

from bench.soak.caller import Caller
from bench.soak.crashing import REQUESTS, CrashingCaller
from bench.soak.deployment import Deployment, Instance
from bench.soak.findings import CONFIG_APPLY_S, SETTLE_S, Findings
from bench.soak.schedule import BACKEND_FAULT, Step

CALLERS_EACH: Final = 2
WARM_UP_S: Final = 6.0
STORE_DELAY_S: Final = 0.3
RESTART_S: Final = 0.5
STOP_LIMIT_S: Final = 8.0
LOOK_INTERVAL_S: Final = 0.1
STALL_S: Final = 0.5
"""When this process itself got no processor time for so long, neither did the others."""


class Report(NamedTuple):
    """The outcome of a soak.

    Attributes:
        found: The broken promises; empty if all were kept.
        asked: How many requests were sent.
        statuses: How many got which status; 0 for none.
    """

    found: list[str]
    asked: int
    statuses: dict[int, int]


async def run_soak(
    *, seed: int, steps: list[Step], seconds: float, instances: int, slack: float
) -> Report:
    """Run a deployment for so many seconds, and until it is whole again.

    Args:
        seed: Of what callers and backend servers draw.
        steps: What happens when.
        seconds: The time in which it happens.
        instances: How many instances run.
        slack: The bounds are so many times the promised ones.
    """
    random = Random(seed)
    findings = Findings(instances=instances, slack=slack)
    with TemporaryDirectory() as folder:
        world = Deployment(
            instances=instances, findings=findings, random=random, folder=Path(folder)
        )
        soak = _Soak(world=world, findings=findings, random=random, slack=slack)
        async with world.serve():
            await soak.run(steps, seconds)
    findings.conclude()
    return Report(findings.found, len(findings.asked), dict(findings.statuses))


class _Soak:
    def __init__(
        self, *, world: Deployment, findings: Findings, random: Random, slack: float
    ) -> None:
        self._world = world
        self._findings = findings
        self._random = random
        self._slack = slack

    async def run(self, steps: list[Step], seconds: float) -> None:
        settled_s = trio.current_time() + WARM_UP_S * self._slack
        for each in self._world.instances:
            self._findings.note_disturbed(each.number, 0.0, settled_s)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_for_stalls)
            for each in self._world.instances:
                for number in range(CALLERS_EACH):
                    nursery.start_soon(self._make_caller(each, number).run)
            await trio.sleep_until(settled_s)
            began_s = trio.current_time()
            for number in range(REQUESTS):
                nursery.start_soon(self._make_crashing_caller(number).run)
            async with trio.open_nursery() as playing:
                for step in steps:
                    await trio.sleep_until(began_s + step.at_s)
                    playing.start_soon(self._play, step)
                await trio.sleep_until(began_s + seconds)
            await trio.sleep((SETTLE_S + CONFIG_APPLY_S) * self._slack)
            self._world.change_config()
            await trio.sleep(2 * CONFIG_APPLY_S * self._slack)
            self._findings.check_whole(self._world.version)
            nursery.cancel_scope.cancel()

    def _make_caller(self, instance: Instance, number: int) -> Caller:
        return Caller(
            name=f"c{instance.number}-{number}",
            instance=instance,
            world=self._world,
            findings=self._findings,
            random=Random(self._random.random()),
        )

    def _make_crashing_caller(self, number: int) -> CrashingCaller:
        return CrashingCaller(
            number=number,
            world=self._world,
            findings=self._findings,
            random=Random(self._random.random()),
        )

    async def _watch_for_stalls(self) -> None:
        while True:
            began_s = trio.current_time()
            await trio.sleep(LOOK_INTERVAL_S)
            ended_s = trio.current_time()
            if ended_s - began_s > STALL_S:
                for each in self._world.instances:
                    self._findings.note_disturbed(each.number, began_s, ended_s)

    async def _play(self, step: Step) -> None:
        instance = self._world.instances[step.instance]
        if step.kind == "config":
            self._world.change_config()
        elif step.kind == "drain":
            await self._world.drain(step.for_s)
        elif step.kind == BACKEND_FAULT:
            await self._world.reset_connections(step.for_s)
        elif step.kind == "store-refuses":
            await self._refuse(step.for_s)
        elif step.kind in ("pause", "kill", "stop"):
            async with instance.lock:
                with self._findings.disturbed(instance.number, planned=step.kind == "stop"):
                    await self._disturb_process(instance, step)
        else:
            await self._disturb_store(instance, step)

    async def _refuse(self, for_s: float) -> None:
        with self._findings.disturbed(*(each.number for each in self._world.instances)):
            self._world.store.refusal_status = 503
            self._world.store.end_watches()
            await trio.sleep(for_s)
            self._world.store.refusal_status = None

    async def _disturb_store(self, instance: Instance, step: Step) -> None:
        faults = {
            "store-cut": Fault("cut"),
            "store-freeze": Fault("freeze"),
            "store-delay": Fault("delay", delay_s=STORE_DELAY_S),
        }
        with self._findings.disturbed(instance.number):
            await instance.proxy.set_fault(faults[step.kind])
            await trio.sleep(step.for_s)
            await instance.proxy.pass_through()

    async def _disturb_process(self, instance: Instance, step: Step) -> None:
        if step.kind == "pause":
            instance.process.freeze()
            await trio.sleep(step.for_s)
            instance.process.thaw()
        elif step.kind == "kill":
            await trio.to_thread.run_sync(instance.process.kill)
            await trio.sleep(RESTART_S)
            instance.start()
        else:
            await self._stop(instance)
            instance.start()

    async def _stop(self, instance: Instance) -> None:
        began = instance.has_begun
        instance.process.terminate()
        code: int | None = None
        with trio.move_on_after(STOP_LIMIT_S * self._slack):
            while (code := instance.process.exit_code) is None:  # noqa: ASYNC110 - a process's end
                await trio.sleep(LOOK_INTERVAL_S)
        # Before it has begun a process has taken no request, and the signal ends it.
        if code != 0 and (began or code != -signal.SIGTERM):
            self._findings.found.append(f"instance {instance.number}: stopped with {code}")
            await trio.to_thread.run_sync(instance.process.kill)
