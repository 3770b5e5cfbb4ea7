"""The settings of the membership protocol."""

import math
from typing import NamedTuple


class MembershipSettings(NamedTuple):
    """Intervals, time-outs and limits of the membership protocol; times are in seconds.

    Attributes:
        heartbeat_interval_s: The period in which each instance probes one other member.
        reply_timeout_s: The time-out of a probe; longer than a round trip between the regions
            furthest apart.
        indirect_probes: The number of members that are asked to probe a member that did not
            answer.
        suspicion_periods: The number of heartbeat intervals in which a suspect can refute the
            suspicion. Multiplied by the decimal logarithm of the number of members if that is
            above 1, because gossip then takes longer.
        push_delay_s: The time for which updates are batched before they are pushed.
        report_delay_s: The additional time for which updates of epochs and loads alone are
            batched. With hundreds of instances such updates arrive all the time, and each would
            otherwise be sent in messages of its own.
        push_fanout: The number of members to which updates are pushed at a time.
        gossip_copies: The maximum number of times that one instance sends an update.
        report_copies: Likewise for an update that does not change the state: the enforced version,
            the epoch or the load. All instances report each change of the configuration, so these
            are most of the updates; a leave or a suspicion must spread faster.
        quiet_s: Views that differ are synchronised once no updates were pending for this long.
        sync_interval_s: The time after which they are synchronised in any case.
        retry_interval_s: The interval between contacts of candidates: dead members, seeds, and
            instances in the platform's list that are not known to be alive.
        forget_dead_s: The time for which dead members are kept and contacted.
        load_step: The minimum change of the load that is published.
        urgent_load_step: A change of the load by this much is gossiped as fast as a change of the
            state, but at most once in ``urgent_load_interval_s``.
        urgent_load_interval_s: The minimum interval between two such changes.
    """

    heartbeat_interval_s: float = 1.0
    reply_timeout_s: float = 0.4
    indirect_probes: int = 3
    suspicion_periods: float = 3.0
    push_delay_s: float = 0.1
    report_delay_s: float = 1.0
    push_fanout: int = 3
    gossip_copies: int = 6
    report_copies: int = 4
    quiet_s: float = 0.5
    sync_interval_s: float = 3.0
    retry_interval_s: float = 3.0
    forget_dead_s: float = 24 * 3600.0
    load_step: float = 0.125
    urgent_load_step: float = math.inf
    urgent_load_interval_s: float = 1.0
