"""Lookups, from a table that follows the configuration in force and the members."""

from http import HTTPStatus

from result import Err, Result

from wagtailpoint.admission.refusal import Refusal, RefusalCode, refuse
from wagtailpoint.config.model import EffectiveConfig
from wagtailpoint.lookup.answer import EntryView, LookupAnswer
from wagtailpoint.lookup.blocks import ClientBlocks
from wagtailpoint.lookup.table import LookupTable
from wagtailpoint.membership import Member, Membership
from wagtailpoint.observe.log import log_event

NOT_READY_RETRY_AFTER_S = 1.0


class Lookups:
    """Answers lookups; refuses them before the first configuration is in force."""

    def __init__(self, *, membership: Membership, failure_domain: str, ttl_s: float) -> None:
        self._membership = membership
        self._failure_domain = failure_domain
        self._ttl_s = ttl_s
        self._table: LookupTable | None = None
        self._blocks = ClientBlocks(blocks=())
        membership.on_change(self._update_entries)

    def prepare(self, config: EffectiveConfig) -> None:
        """Build the table of client blocks for ``apply``, which takes seconds for many blocks.

        May run in a worker thread, as it does not modify the table in use.
        """
        self._blocks = self._blocks.with_blocks(config.client_blocks)

    def apply(self, config: EffectiveConfig) -> None:
        """Build the lookup table for the configuration that was prepared last."""
        self._warn_if_unconfigured(config)
        self._table = LookupTable(
            config=config,
            own_failure_domain=self._failure_domain,
            ttl_s=self._ttl_s,
            blocks=self._blocks,
        )
        self._update_entries()

    def answer(self, *, workspace: str, address: str) -> Result[LookupAnswer, Refusal]:
        """Answer a lookup from memory, or refuse it."""
        if self._table is None:
            return Err(_not_ready())
        return self._table.answer(workspace=workspace, address=address)

    def _warn_if_unconfigured(self, config: EffectiveConfig) -> None:
        """Log a warning if the configuration lacks the failure domain of this instance.

        No lookup names the instance then, although it seems healthy and idle.
        """
        known = {name for region in config.regions.values() for name in region.failure_domains}
        if self._failure_domain not in known:
            log_event(
                "failure-domain-not-configured",
                level="WARNING",
                failure_domain=self._failure_domain,
                configured=",".join(sorted(known)),
            )

    def _update_entries(self) -> None:
        if self._table is not None:
            self._table.update([_view(member) for member in self._membership.members()])


def _view(member: Member) -> EntryView:
    # Suspect members stay in the answers. Most have only missed one heartbeat, and removing them
    # would move all of their callers to the other entries at once. If one is really down, its
    # callers retry at another entry by themselves.
    return EntryView(
        address=member.address,
        port=member.port,
        region=member.region,
        failure_domain=member.failure_domain,
        incarnation=f"{member.incarnation:016x}",
        epoch=member.epoch,
        leaving=member.state == "leaving",
        alive=member.state in ("live", "isolated", "leaving"),
        load=member.load,
    )


def _not_ready() -> Refusal:
    return refuse(
        HTTPStatus.SERVICE_UNAVAILABLE,
        RefusalCode.NOT_READY,
        "this instance has no configuration yet; ask another one",
        NOT_READY_RETRY_AFTER_S,
    )
