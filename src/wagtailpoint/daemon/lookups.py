"""Keeps the lookup table in step with the configuration in force and with the members."""

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
    """Answers lookups, or says that it can't yet."""

    def __init__(self, *, membership: Membership, failure_domain: str, ttl_s: float) -> None:
        self._membership = membership
        self._failure_domain = failure_domain
        self._ttl_s = ttl_s
        self._table: LookupTable | None = None
        self._blocks = ClientBlocks(blocks=())
        membership.on_change(self._update_entries)

    def prepare(self, config: EffectiveConfig) -> None:
        """Build the table of the client blocks that ``apply`` will need; takes seconds for many.

        May run in a thread: the table in use is left as it is.
        """
        self._blocks = self._blocks.with_blocks(config.client_blocks)

    def apply(self, config: EffectiveConfig) -> None:
        """Follow the configuration that was prepared last."""
        self._warn_if_unconfigured(config)
        self._table = LookupTable(
            config=config,
            own_failure_domain=self._failure_domain,
            ttl_s=self._ttl_s,
            blocks=self._blocks,
        )
        self._update_entries()

    def answer(self, *, workspace: str, address: str) -> Result[LookupAnswer, Refusal]:
        """Answer one lookup from memory."""
        if self._table is None:
            return Err(_not_ready())
        return self._table.answer(workspace=workspace, address=address)

    def _warn_if_unconfigured(self, config: EffectiveConfig) -> None:
        """Log when the configuration does not know where this instance runs.

        Nobody would be told to use it then, and it would look healthy and idle.
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
    # A suspect stays in the answers: it often only missed one heartbeat, and to drop it would send
    # all of its callers to the others at once. Its callers retry elsewhere by themselves.
    return EntryView(
        address=member.address,
        port=member.port,
        region=member.region,
        failure_domain=member.failure_domain,
        incarnation=f"{member.incarnation:016x}",
        epoch=member.epoch,
        leaving=member.state == "leaving",
        alive=member.state in ("live", "leaving"),
        load=member.load,
    )


def _not_ready() -> Refusal:
    return refuse(
        HTTPStatus.SERVICE_UNAVAILABLE,
        RefusalCode.NOT_READY,
        "this instance has no configuration yet; ask another one",
        NOT_READY_RETRY_AFTER_S,
    )
