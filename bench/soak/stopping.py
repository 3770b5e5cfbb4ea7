"""Stops instances as the platform does, with pauses and signals that overlap the stop."""

import math
import signal
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from typing import Final

import trio

from bench.soak.findings import Findings
from bench.soak.instance import Instance
from bench.soak.planned_stops import GRACE_S, Period, PlannedStop, Reload
from bench.soak.schedule import StopSignals, StopsStep

POLL_INTERVAL_S: Final = 0.01


class Stopper:
    """Plays planned stops, pauses and reloads, and records them."""

    def __init__(self, *, instances: Sequence[Instance], findings: Findings) -> None:
        """Initialise the stopper.

        Args:
            instances: The instances.
            findings: Records what happens to them.
        """
        self._instances = instances
        self._findings = findings

    async def play(self, step: StopsStep) -> None:
        """Stop the instances of a step and start them again."""
        async with trio.open_nursery() as nursery:
            for signals in step.stops:
                nursery.start_soon(self._play_one, signals)

    async def _play_one(self, signals: StopSignals) -> None:
        await trio.sleep(signals.delay_s)
        instance = self._instances[signals.instance]
        async with instance.lock:
            await self._stop_beside_others(instance, signals)
            instance.start()

    async def _stop_beside_others(self, instance: Instance, signals: StopSignals) -> None:
        lead_s = max(0.0, *(-each for each in (signals.pause_s or 0.0, *signals.reloads_s)))
        signal_at = trio.current_time() + lead_s
        async with trio.open_nursery() as nursery:
            if signals.pause_s is not None:
                pause_at = signal_at + signals.pause_s
                nursery.start_soon(self._pause_at, instance, pause_at, signals.paused_s)
            for delay_s in signals.reloads_s:
                nursery.start_soon(self._reload_at, instance, signal_at + delay_s)
            await trio.sleep_until(signal_at)
            for delay_s in signals.repeats_s:
                nursery.start_soon(self._repeat_at, instance, signal_at + delay_s)
            await self.stop(instance)
            nursery.cancel_scope.cancel()

    async def stop(self, instance: Instance) -> None:
        """Send SIGTERM, and SIGKILL if the process still runs at the end of the grace period."""
        had_started = instance.has_started
        killed = False
        with self._findings.disturbance(instance.number, planned=True, of_process=True):
            signalled_s = trio.current_time()
            instance.process.terminate()
            while (code := instance.process.exit_code) is None:
                if not killed and trio.current_time() >= signalled_s + GRACE_S:
                    killed = True
                    instance.signal(signal.SIGKILL)
                await trio.sleep(POLL_INTERVAL_S)
        checks = self._findings.stop_checks
        # A process that has not started yet has taken no request, and the signal ends it.
        if had_started or code not in (0, -signal.SIGTERM):
            ended_s = trio.current_time()
            checks.stops.append(
                PlannedStop(instance.number, instance.processes, signalled_s, ended_s, code, killed)
            )

    async def pause(self, instance: Instance, duration_s: float) -> None:
        """Suspend the process for a time."""
        with self._pausing(instance):
            instance.signal(signal.SIGSTOP)
            try:
                await trio.sleep(duration_s)
            finally:
                if instance.process.exit_code is None:
                    instance.signal(signal.SIGCONT)

    def reload(self, instance: Instance) -> None:
        """Change the settings file and send SIGHUP, unless the process has not started yet."""
        if instance.process.exit_code is None and instance.has_started:
            instance.change_settings()
            self._findings.stop_checks.reloads.append(
                Reload(instance.number, instance.processes, trio.current_time())
            )
            instance.signal(signal.SIGHUP)

    @contextmanager
    def _pausing(self, instance: Instance) -> Iterator[None]:
        pauses = self._findings.stop_checks.pauses[instance.number]
        ongoing = Period(trio.current_time(), math.inf)
        pauses.append(ongoing)
        with self._findings.disturbance(instance.number, of_process=True):
            try:
                yield
            finally:
                pauses.remove(ongoing)
                pauses.append(Period(ongoing.started_s, trio.current_time()))

    async def _pause_at(self, instance: Instance, at_s: float, duration_s: float) -> None:
        await trio.sleep_until(at_s)
        if instance.process.exit_code is None:
            await self.pause(instance, duration_s)

    async def _reload_at(self, instance: Instance, at_s: float) -> None:
        await trio.sleep_until(at_s)
        self.reload(instance)

    async def _repeat_at(self, instance: Instance, at_s: float) -> None:
        await trio.sleep_until(at_s)
        if instance.process.exit_code is None and instance.has_started:
            instance.signal(signal.SIGTERM)
