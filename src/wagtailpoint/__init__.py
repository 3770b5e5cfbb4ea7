"""Wagtailpoint: global traffic steering by many equal instances.

The public surface for programs is the caller library; the daemon and the command-line tool are
the programs ``wagtailpointd`` and ``wagtailpoint``.
"""

from wagtailpoint.caller import Answer, Caller
from wagtailpoint.errors import (
    InvalidInput,
    NoEntryAvailable,
    RequestUnanswered,
    WagtailpointError,
)
from wagtailpoint.verdict import Verdict

__all__ = [
    "Answer",
    "Caller",
    "InvalidInput",
    "NoEntryAvailable",
    "RequestUnanswered",
    "Verdict",
    "WagtailpointError",
]
