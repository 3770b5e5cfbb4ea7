"""Wagtailpoint: global traffic steering by many equal instances.

The public surface for programs is the caller library; the daemon and the command-line tool are
the programs ``wagtailpointd`` and ``wagtailpoint``.
"""

from wagtailpoint.errors import InvalidInput, NoEntryAvailable, WagtailpointError
from wagtailpoint.verdict import Verdict

__all__ = ["InvalidInput", "NoEntryAvailable", "Verdict", "WagtailpointError"]
