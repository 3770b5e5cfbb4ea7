"""Wagtailpoint: global traffic steering by instances without a leader.

The caller library is the public Python API. The daemon is ``wagtailpointd``, the command-line tool
``wagtailpoint``.
"""

from importlib import import_module
from typing import TYPE_CHECKING, Any, Final

if TYPE_CHECKING:
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

_MODULE_OF: Final = {
    "Answer": "wagtailpoint.caller",
    "Caller": "wagtailpoint.caller",
    "InvalidInput": "wagtailpoint.errors",
    "NoEntryAvailable": "wagtailpoint.errors",
    "RequestUnanswered": "wagtailpoint.errors",
    "Verdict": "wagtailpoint.verdict",
    "WagtailpointError": "wagtailpoint.errors",
}


def __getattr__(name: str) -> Any:
    """Import a public name on its first use: the daemon starts without the caller library."""
    module = _MODULE_OF.get(name)
    if module is None:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    value = globals()[name] = getattr(import_module(module), name)
    return value
