"""Wagtailpoint: global traffic steering by instances without a leader.

The caller library is the public Python API. The daemon is ``wagtailpointd``, the command-line tool
``wagtailpoint``.
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
