"""Runs a schedule of faults on a deployment while callers use it, and checks guarantees."""

import time
from collections.abc import Collection, Sequence
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory
from typing import Final, NamedTuple

import trio
from tests.common.fault_proxy import Fault

from bench.soak.caller import MEAN_PAUSE_S, Caller
from bench.soak.crashing import CRASHING_REQUESTS, CrashingCaller
from bench.soak.deployment import Deployment
from bench.soak.findings import CONFIG_APPLY_S, SETTLE_S, Findings
from bench.soak.instance import Instance
from bench.soak.long_caller import LongCaller
from bench.soak.odd_writer import OddWriter
from bench.soak.schedule import (
    BACKEND_FAULT,
    FLOOD,
    LIMIT,
    ODD_OBJECT,
    RELOAD,
    REST,
    RETURN,
    SLOW_MACHINE,
    AnyStep,
    CutStep,
    Load,
    Step,
    StopsStep,
)
from bench.soak.stopping import Stopper
from bench.soak.workspaces import FLOODING

CALLERS_PER_INSTANCE: Final = 2
USUAL_INSTANCES: Final = 10
"""With more instances callers pause longer, so that the machine bears their requests."""

MAX_LONG_CALLERS: Final = 100
LONG_CALLERS: Final = 24
MAX_LONG_CALLERS_PER_INSTANCE: Final = 4
"""The number of callers whose requests take long, of all instances and of one."""

FLOODING_CALLERS: Final = 8
FLOODING_PAUSE_S: Final = 0.01
"""The number of callers that flood an instance, and the mean pause of each."""

START_LIMIT_S: Final = 60.0
WARM_UP_S: Final = 6.0
STORE_DELAY_S: Final = 0.3
RESTART_DELAY_S: Final = 0.5
MAX_AWAY_S: Final = 2.0
POLL_INTERVAL_S: Final = 0.1
STALL_THRESHOLD_S: Final = 0.5
"""A longer pause of this process means that the other processes got no processor time either."""


class Report(NamedTuple):
    """The result of a soak.

    Attributes:
        violations: The violated guarantees; empty if all were met.
        sent: The number of requests sent.
        statuses: The number of answers by status; 0 stands for no answer.
        stopped: The number of planned stops.
        stops: The numbers of planned stops and of what they did, as text.
    """

    violations: list[str]
    sent: int
    statuses: dict[int, int]
    stopped: int
    stops: str


async def run_soak(
    *,
    seed: int,
    steps: Sequence[AnyStep],
    seconds: float,
    instances: int,
    slack: float,
    loads: Collection[Load] = (),
    logs: Path | None = None,
) -> Report:
    """Run a deployment under faults, until it has recovered from all of them.

    Args:
        seed: The seed of the random choices of callers and backend servers.
        steps: The schedule.
        seconds: The duration of the schedule in seconds.
        instances: The number of instances.
        slack: The factor on all time bounds.
        loads: The kinds of load to add.
        logs: The folder for the logs of the instances; None to discard them.
    """
    random = Random(seed)
    findings = Findings(instances=instances, slack=slack)
    with TemporaryDirectory() as folder:
        deployment = Deployment(
            instances=instances,
            findings=findings,
            random=random,
            folder=Path(folder),
            loads=loads,
        )
        soak = _Soak(
            seed=seed, deployment=deployment, findings=findings, random=random, slack=slack
        )
        async with deployment.serve():
            try:
                await soak.run(steps, seconds)
            finally:
                if logs is not None:
                    deployment.save_logs(logs / f"seed-{seed}")
    findings.finish_checks()
    if logs is not None:
        _write_events(logs / f"seed-{seed}", findings)
    return Report(
        findings.violations,
        len(findings.sent),
        dict(findings.statuses),
        len(findings.stop_checks.stops),
        findings.stop_checks.summary,
    )


def _write_events(folder: Path, findings: Findings) -> None:
    """Write what was found and when instances were stopped, with the clock of the logs."""
    offset_s = time.time() - trio.lowlevel.current_clock().current_time()
    checks = findings.stop_checks
    events = [
        *((stop.signalled_s, str(stop)) for stop in checks.stops),
        *((reload.at_s, str(reload)) for reload in checks.reloads),
        *((at_s, f"kill of {n}") for n, times in checks.kills.items() for at_s in times),
        *(
            (each.started_s, f"pause of {n} {each}")
            for n, all_ in checks.pauses.items()
            for each in all_
        ),
        *(
            (each.started_s, f"cut of {n} {each}")
            for n, all_ in checks.cuts.items()
            for each in all_
        ),
    ]
    lines = [f"add {offset_s:.3f} to a time for that of the logs", *findings.violations]
    lines += [f"{at_s + offset_s:.3f} {text}" for at_s, text in sorted(events)]
    (folder / "events.txt").write_text("\n".join(lines) + "\n")


class _Soak:
    def __init__(
        self,
        *,
        seed: int,
        deployment: Deployment,
        findings: Findings,
        random: Random,
        slack: float,
    ) -> None:
        self._seed = seed
        self._deployment = deployment
        self._findings = findings
        self._random = random
        self._slack = slack
        self._odd_writer = OddWriter(store=deployment.store, random=Random(f"{seed}-{ODD_OBJECT}"))
        self._stopper = Stopper(instances=deployment.instances, findings=findings)

    async def run(self, steps: Sequence[AnyStep], seconds: float) -> None:
        with trio.move_on_after(START_LIMIT_S):
            instances = self._deployment.instances
            while not all(each.has_started for each in instances):  # noqa: ASYNC110 - their logs
                await trio.sleep(POLL_INTERVAL_S)
        settled_s = trio.current_time() + WARM_UP_S * self._slack
        for instance in self._deployment.instances:
            self._findings.record_disturbance(instance.number, 0.0, settled_s)
            self._findings.stop_checks.pauses[instance.number].clear()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_for_stalls)
            for instance in self._deployment.instances:
                for number in range(CALLERS_PER_INSTANCE):
                    nursery.start_soon(self._make_caller(instance, number).run)
            for caller in self._make_long_callers():
                nursery.start_soon(caller.run)
            await trio.sleep_until(settled_s)
            started_s = trio.current_time()
            for number in range(CRASHING_REQUESTS):
                nursery.start_soon(self._make_crashing_caller(number).run)
            async with trio.open_nursery() as steps_nursery:
                for step in steps:
                    await trio.sleep_until(started_s + step.at_s)
                    steps_nursery.start_soon(self._run_step, step)
                await trio.sleep_until(started_s + seconds)
            await trio.sleep((SETTLE_S + CONFIG_APPLY_S) * self._slack)
            self._deployment.change_config()
            await trio.sleep(2 * CONFIG_APPLY_S * self._slack)
            self._findings.check_final_versions(self._deployment.version)
            nursery.cancel_scope.cancel()

    def _make_caller(self, instance: Instance, number: int) -> Caller:
        return Caller(
            name=f"c{instance.number}-{number}",
            instance=instance,
            deployment=self._deployment,
            findings=self._findings,
            random=Random(self._random.random()),
            mean_pause_s=MEAN_PAUSE_S * max(1.0, len(self._deployment.instances) / USUAL_INSTANCES),
        )

    def _make_long_callers(self) -> list[LongCaller]:
        instances = self._deployment.instances
        per_instance = min(MAX_LONG_CALLERS_PER_INSTANCE, max(1, LONG_CALLERS // len(instances)))
        names = [
            (f"l{instance.number}-{number}", instance)
            for instance in instances[:MAX_LONG_CALLERS]
            for number in range(per_instance)
        ]
        return [
            LongCaller(
                name=name,
                instance=instance,
                findings=self._findings,
                random=Random(f"{self._seed}-{name}"),
            )
            for name, instance in names
        ]

    def _make_crashing_caller(self, number: int) -> CrashingCaller:
        return CrashingCaller(
            number=number,
            deployment=self._deployment,
            findings=self._findings,
            random=Random(self._random.random()),
        )

    async def _watch_for_stalls(self) -> None:
        while True:
            started_s = trio.current_time()
            await trio.sleep(POLL_INTERVAL_S)
            ended_s = trio.current_time()
            if ended_s - started_s > STALL_THRESHOLD_S:
                for instance in self._deployment.instances:
                    self._findings.record_disturbance(instance.number, started_s, ended_s)

    async def _run_step(self, step: AnyStep) -> None:
        if isinstance(step, CutStep):
            await self._deployment.cut(step.instances, step.form, step.unreached, step.duration_s)
            return
        if isinstance(step, StopsStep):
            await self._stopper.play(step)
            return
        instance = self._deployment.instances[step.instance]
        if step.kind == RELOAD:
            self._stopper.reload(instance)
        elif step.kind in ("pause", "kill", "stop"):
            async with instance.lock:
                await self._disturb_process(instance, step)
        elif step.kind == FLOOD:
            await self._flood(instance, step.duration_s)
        elif step.kind in ("store-cut", "store-freeze", "store-delay"):
            await self._disturb_store(instance, step)
        else:
            await self._disturb_all(step)

    async def _disturb_all(self, step: Step) -> None:
        if step.kind == "config":
            self._deployment.change_config()
        elif step.kind == "drain":
            await self._deployment.drain(step.duration_s)
        elif step.kind == BACKEND_FAULT:
            await self._deployment.reset_connections(step.duration_s)
        elif step.kind == LIMIT:
            await self._deployment.state_limit(step.duration_s)
        elif step.kind == REST:
            await self._deployment.ask_for_rest(step.duration_s)
        elif step.kind == SLOW_MACHINE:
            await self._deployment.slow_machine(step.duration_s)
        elif step.kind == ODD_OBJECT:
            await self._odd_writer.write(step.duration_s)
        elif step.kind == RETURN:
            await self._return_store(step.duration_s)
        else:
            await self._refuse_store_calls(step.duration_s)

    async def _flood(self, instance: Instance, duration_s: float) -> None:
        now = trio.current_time()
        async with trio.open_nursery() as nursery:
            for number in range(FLOODING_CALLERS):
                caller = Caller(
                    name=f"{FLOODING}-{instance.number}-{now:.3f}-{number}",
                    instance=instance,
                    deployment=self._deployment,
                    findings=self._findings,
                    random=Random(self._random.random()),
                    mean_pause_s=FLOODING_PAUSE_S,
                    until_s=now + duration_s,
                )
                nursery.start_soon(caller.run)

    async def _return_store(self, copy_age_s: float) -> None:
        self._deployment.store.keep_copy()
        await trio.sleep(copy_age_s)
        with self._findings.disturbance(
            *(instance.number for instance in self._deployment.instances)
        ):
            await self._deployment.return_store(self._random.uniform(0.0, MAX_AWAY_S))

    async def _refuse_store_calls(self, duration_s: float) -> None:
        with self._findings.disturbance(
            *(instance.number for instance in self._deployment.instances)
        ):
            self._deployment.store.refusal_status = 503
            self._deployment.store.end_watches()
            await trio.sleep(duration_s)
            self._deployment.store.refusal_status = None

    async def _disturb_store(self, instance: Instance, step: Step) -> None:
        faults = {
            "store-cut": Fault("cut"),
            "store-freeze": Fault("freeze"),
            "store-delay": Fault("delay", delay_s=STORE_DELAY_S),
        }
        with self._findings.disturbance(instance.number):
            await instance.proxy.set_fault(faults[step.kind])
            await trio.sleep(step.duration_s)
            await instance.proxy.pass_through()

    async def _disturb_process(self, instance: Instance, step: Step) -> None:
        if step.kind == "stop":
            await self._stopper.stop(instance)
            instance.start()
        elif step.kind == "pause":
            await self._stopper.pause(instance, step.duration_s)
        else:
            with self._findings.disturbance(instance.number, of_process=True):
                self._findings.stop_checks.kills[instance.number].append(trio.current_time())
                await trio.to_thread.run_sync(instance.process.kill)
                await trio.sleep(RESTART_DELAY_S)
                instance.start()
