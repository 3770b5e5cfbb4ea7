"""The verdict: whether a request may have run on a backend server."""

from enum import Enum


class Verdict(Enum):
    """Whether a request may have run.

    The weakest statement that is certain is given. ``NOT_RUN`` is a promise: callers repeat a
    non-idempotent request after it, so saying it wrongly pays a release twice.
    """

    RAN = "ran"
    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"
