"""Compares the verdicts that callers received with the records of the backend servers.

Each request of a test has a unique path, which identifies its executions in the records for every
entry, attempt and request id.
"""

from collections import Counter
from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

import msgspec

from tests.common.raw_caller import Heard
from wagtailpoint.verdict import Verdict

OK_STATUS = 200


class VerdictFaults(NamedTuple):
    """The false answers of a run; all fields must be empty.

    Attributes:
        ran_although_not_run: Paths whose every answer said ``not-run``, but which ran.
        not_run_although_ran: Paths with the verdict ``ran`` that no backend server ran.
        ran_twice: Non-idempotent paths that ran more than once.
        crossed: Paths that received the answer to another path.
    """

    ran_although_not_run: tuple[str, ...]
    not_run_although_ran: tuple[str, ...]
    ran_twice: tuple[str, ...]
    crossed: tuple[str, ...]


NO_FAULTS = VerdictFaults((), (), (), ())


def count_executions(records: Iterable[Mapping[str, Any]]) -> Counter[str]:
    """Count the executions of each path on all backend servers."""
    executions: Counter[str] = Counter()
    for record in records:
        for arrival in record["arrivals"]:
            ran = record["executions"].get(arrival["request_id"], 0)
            executions[arrival["path"]] += ran
    return executions


def find_false_verdicts(
    heard: Iterable[Heard], records: Iterable[Mapping[str, Any]], *, at_most_once: bool = True
) -> VerdictFaults:
    """Check every answer of a run.

    Args:
        heard: All answers, including those to retries. A path with the verdict ``not-run`` and
            later ``ran`` must have run once; it ran twice if the refused copy ran too.
        records: The records of all backend servers, read after the last answer.
        at_most_once: Whether each request must not run more than once.
    """
    heard = list(heard)
    executions = count_executions(records)
    told: dict[str, set[Verdict]] = {}
    for answer in heard:
        told.setdefault(answer.path, set()).add(answer.verdict)
    return VerdictFaults(
        tuple(
            path for path, said in told.items() if said == {Verdict.NOT_RUN} and executions[path]
        ),
        tuple(path for path, said in told.items() if Verdict.RAN in said and not executions[path]),
        tuple(path for path in told if at_most_once and executions[path] > 1),
        tuple(answer.path for answer in heard if _is_crossed(answer)),
    )


def _is_crossed(answer: Heard) -> bool:
    """Return whether an answer, which contains the path of its request, is for another path."""
    if answer.verdict is not Verdict.RAN or answer.status != OK_STATUS:
        return False
    return bool(msgspec.json.decode(answer.body)["path"] != answer.path)
