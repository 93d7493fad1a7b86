"""Times and limits of membership."""

import msgspec


class MembershipSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Constants of the protocol; the defaults fit sites of any size.

    Times are in milliseconds and grow with bad local health where the
    Lifeguard rules say so.
    """

    #: Time between two rounds of probes: one of the next member on the ring
    #: and some of random members.
    probe_period_ms: int = 250
    random_probes: int = 1

    #: Wait for a direct answer, on top of twice the site's round trip.
    ack_timeout_ms: int = 100

    #: Further wait for the helpers; longer than a helper's own wait.
    indirect_timeout_ms: int = 200
    indirect_helpers: int = 3

    #: Time from suspicion to death with all confirmations and with none. The
    #: shorter one leaves a member paused for 200 ms time to refute.
    suspicion_min_ms: int = 500
    suspicion_max_ms: int = 1000
    suspicion_confirmations: int = 2

    #: Number of nodes, on average, that probe a member as soon as they hear
    #: that it is suspected.
    confirming_nodes: int = 6

    #: Period in which a node asks peers about a member that others suspect;
    #: covers the loss of the announcement of its death.
    suspicion_inquiry_ms: int = 750
    suspect_probe_period_ms: int = 150

    #: Period of the task that checks timers; granularity of all timers.
    tick_ms: int = 100

    #: A timer that fires this late voids the probe it belongs to.
    late_ms: int = 50

    #: A periodic task that wakes this late has been frozen. Peers may have
    #: declared a node dead after a longer absence.
    freeze_ms: int = 500

    #: Age up to which an answer shows contact with a site. Shorter than the
    #: shortest time from a lost probe to a death, so that deaths caused by
    #: the loss of a whole site always find the site out of contact.
    contact_window_ms: int = 750
    site_check_period_ms: int = 250

    #: A site without any answer for this time is unreachable.
    site_silence_ms: int = 1000

    join_retry_ms: int = 500
    reconnect_period_ms: int = 1000

    #: Time between digest comparisons, in steady state and while catching up.
    sync_period_ms: int = 2000
    catch_up_period_ms: int = 100

    #: Table received by a member that joins; its peers send it within their
    #: limit of repairs.
    fetch_bytes_per_second: int = 32_768
    fetch_retry_ms: int = 300

    #: Answers to digests and joins, and changes sent, each in bytes.
    sync_bytes_per_second: int = 4096
    change_bytes_per_second: int = 2048
    burst_bytes: int = 12_288

    #: Each change is sent this factor times log2 of the members.
    retransmission_factor: int = 3
    queued_changes: int = 2048
    change_fanout: int = 2

    #: Largest number of members to which a drain or stop is sent directly.
    direct_announcements: int = 128

    #: Time for which dead and left members are remembered.
    tombstone_ms: int = 600_000
