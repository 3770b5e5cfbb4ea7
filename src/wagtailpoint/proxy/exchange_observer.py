"""Observers of the exchanges with backend servers."""

from typing import Protocol

from wagtailpoint.discovery.entries import ServerEntry
from wagtailpoint.proxy.request_context import RequestContext


class ExchangeObserver(Protocol):
    """Is told when exchanges with backend servers begin and end."""

    def __call__(self, context: RequestContext, entry: ServerEntry, *, has_begun: bool) -> None:
        """Record the begin or the end of an exchange."""


def ignore_exchange(context: RequestContext, entry: ServerEntry, *, has_begun: bool) -> None:
    """Ignore exchanges, as long as nothing is told of them."""
