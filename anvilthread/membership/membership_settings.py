"""Times and limits of membership."""

import msgspec


class MembershipSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Constants of the protocol; the defaults fit sites of any size.

    Times are in milliseconds and grow with bad local health where the
    Lifeguard rules say so.
    """

    #: Time between two rounds of probes. A round probes the next member on the
    #: ring and some random members.
    probe_period_ms: int = 250
    random_probes: int = 1

    #: Timeout of a direct probe, in addition to twice the site's round trip.
    ack_timeout_ms: int = 100

    #: Additional timeout of indirect probes; longer than a helper's timeout for
    #: its ping.
    indirect_timeout_ms: int = 200
    indirect_helpers: int = 3

    #: Time from suspicion to death with all confirmations and with none. The
    #: minimum leaves a member that was paused for 200 ms time to refute.
    suspicion_min_ms: int = 500
    suspicion_max_ms: int = 1000
    suspicion_confirmations: int = 2

    #: Average number of nodes that probe a member as soon as they receive a
    #: suspicion of it.
    confirming_nodes: int = 6

    #: Interval at which a node asks peers about a member that others suspect;
    #: covers the loss of the announcement of its death.
    suspicion_inquiry_ms: int = 750
    suspect_probe_period_ms: int = 150

    #: Period of the task that checks timers; the granularity of all timers.
    tick_ms: int = 100

    #: A probe whose timer fires later than this counts neither as answered nor
    #: as failed.
    late_ms: int = 50

    #: A delay of the periodic task beyond this counts as a freeze of the process.
    #: Peers may have declared a node dead after a longer absence.
    freeze_ms: int = 500

    #: Age up to which an answer proves contact with a site. Shorter than the
    #: shortest time from a lost probe to a death, so that contact with a lost
    #: site always expires before any of its members is declared dead.
    contact_window_ms: int = 750
    site_check_period_ms: int = 250

    #: A site that has sent no answer for this time is unreachable.
    site_silence_ms: int = 1000

    join_retry_ms: int = 500
    reconnect_period_ms: int = 1000

    #: Time between digest comparisons in steady state and during catch-up.
    sync_period_ms: int = 2000
    catch_up_period_ms: int = 100

    #: Rate at which a joining member fetches the table; its peers send it within
    #: their byte limit of repairs.
    fetch_bytes_per_second: int = 32_768
    fetch_retry_ms: int = 300

    #: Rates of repairs (answers to digests and joins) and of changes, and the
    #: burst allowed for each.
    sync_bytes_per_second: int = 4096
    change_bytes_per_second: int = 2048
    burst_bytes: int = 12_288

    #: Each change is sent this factor times log2 of the number of members.
    retransmission_factor: int = 3
    queued_changes: int = 2048
    change_fanout: int = 2

    #: Largest number of members to which a drain or stop is sent directly.
    direct_announcements: int = 128

    #: Retention of dead and left members.
    tombstone_ms: int = 600_000
