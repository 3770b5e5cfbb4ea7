"""Restarting of tasks that a fault of the program has ended.

An error that leaves a task ends the process with all its requests, and ends it again after each
restart if its cause lies in the store or at a peer. Input is checked where it is read; this is for
what the checks have missed.
"""

import traceback
from collections.abc import Awaitable, Callable, Mapping, Sequence
from functools import partial
from typing import Final, NamedTuple

import trio

from wagtailpoint.errors import describe_error
from wagtailpoint.observe.log import log_event
from wagtailpoint.observe.metrics import Metrics

MIN_DELAY_S: Final = 0.5
MAX_DELAY_S: Final = 15.0
"""Delays before a restart; each one in a row is twice as long as the one before."""

Task = Callable[[], Awaitable[None]]


class _Fault(NamedTuple):
    """An error and the line that raised it."""

    error: Exception
    place: str


def restarting_tasks(tasks: Mapping[str, Task], *, metrics: Metrics) -> Sequence[Task]:
    """Return tasks that run other ones, and run them again after an error.

    Args:
        tasks: The tasks, by their names in log and metrics; each one has to go on from the state
            that an error leaves.
        metrics: Counts the errors by task.
    """
    return [partial(_keep_running, name, task, metrics) for name, task in tasks.items()]


async def _keep_running(name: str, task: Task, metrics: Metrics) -> None:
    delay_s = MIN_DELAY_S
    while True:
        began = trio.current_time()
        try:
            await task()
        except Exception as error:
            _record(name, error, metrics)
        else:
            return
        if trio.current_time() - began > MAX_DELAY_S:
            delay_s = MIN_DELAY_S
        await trio.sleep(delay_s)
        delay_s = min(2 * delay_s, MAX_DELAY_S)


def _record(name: str, error: Exception, metrics: Metrics) -> None:
    metrics.count(f"task-failed.{name}")
    fault = _find_fault(error)
    log_event(
        "task-failed",
        level="ERROR",
        task=name,
        error=f"{type(fault.error).__name__}: {describe_error(fault.error)}",
        at=fault.place,
    )


def _find_fault(error: Exception) -> _Fault:
    """Return the first error of a group, which nurseries raise, and its place."""
    while isinstance(error, ExceptionGroup):
        error = error.exceptions[0]
    frames = traceback.extract_tb(error.__traceback__, limit=-1)
    place = f"{frames[0].filename.rpartition('/')[2]}:{frames[0].lineno}" if frames else ""
    return _Fault(error, place)
