"""The caller library."""

from wagtailpoint.caller.answer import Answer
from wagtailpoint.caller.caller import Caller
from wagtailpoint.caller.download import Download
from wagtailpoint.caller.exchange import EntryAddress

__all__ = ["Answer", "Caller", "Download", "EntryAddress"]
