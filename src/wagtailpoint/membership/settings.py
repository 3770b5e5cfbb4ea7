"""The times and numbers of the membership."""

import math
from typing import NamedTuple


class MembershipSettings(NamedTuple):
    """The times and numbers of the membership.

    Attributes:
        heartbeat_interval_s: Each instance probes one other in each such period.
        reply_timeout_s: How long an answer to a probe may take; more than a round trip between
            the regions furthest apart.
        indirect_probes: How many others are asked to probe whom gives no answer.
        suspicion_periods: How many periods a suspect has to speak up; times the decimal logarithm
            of the number of members if that is above 1, as news then takes longer.
        push_delay_s: News waits this long for more before it is told on.
        report_delay_s: News of epochs and loads alone waits this long for more: at hundreds of
            instances some come all the time, and each would go out in messages of its own.
        push_fanout: How many members are told at once.
        gossip_copies: How often one instance tells a piece of news on, at most.
        report_copies: The same, of a change that is not of the state: the version enforced, the
            epoch, the load. All instances report each change of the configuration, so these are
            most of what is told; a leave or a suspicion must be told faster.
        quiet_s: Views that differ are compared after no news came for so long.
        sync_interval_s: They are compared after so long in any case.
        retry_interval_s: In each such period one of the dead, the seeds and the platform's list
            that is not known to live is asked whether it does.
        forget_dead_s: How long the dead are remembered, and retried.
        load_step: The load is told on when it has moved by this much.
        urgent_load_step: A load that has moved by this much is told on like a change of the state,
            but no more often than once in ``urgent_load_interval_s``.
        urgent_load_interval_s: See there.
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
