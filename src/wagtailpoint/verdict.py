"""The verdict: whether a request may have run on a backend server."""

from enum import Enum


class Verdict(Enum):
    """Whether a request may have run.

    ``RAN`` and ``NOT_RUN`` are only given if they are certain. Callers retry a non-idempotent
    request after ``NOT_RUN``, so a wrong ``NOT_RUN`` runs it twice, for example a payment.
    """

    RAN = "ran"
    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"
