"""Join through seeds, and reconnection after a partition."""

from anvilthread.address import Address
from anvilthread.membership.fetcher import Fetcher
from anvilthread.membership.node_context import NodeContext
from anvilthread.membership.outbox import MAX_LIST_BYTES
from anvilthread.membership.pinger import Pinger
from anvilthread.membership.sync_messages import Join, JoinReply
from anvilthread.membership.synchroniser import Synchroniser
from anvilthread.membership.tombstones import Tombstones
from anvilthread.membership.wire import Record

_SEEDS_PER_ATTEMPT = 3

#: Random members of which as many as fit are sent to a new member.
_CANDIDATE_PEERS = 32


class Joiner:
    """Joins this node through seeds and answers the joins of others.

    Args:
        context: Shared components of the node.
        seeds: Control addresses from the settings; may include this node.
        pinger: Sends the pings to dead members.
        synchroniser: Compares tables once a seed has answered.
        fetcher: Fetches the table once a seed has answered.
        tombstones: Dead members that are pinged again.
    """

    __slots__ = (
        '_context',
        '_fetcher',
        '_has_joined',
        '_pinger',
        '_seeds',
        '_synchroniser',
        '_tombstones',
    )

    def __init__(
        self,
        *,
        context: NodeContext,
        seeds: tuple[Address, ...],
        pinger: Pinger,
        synchroniser: Synchroniser,
        fetcher: Fetcher,
        tombstones: Tombstones,
    ) -> None:
        local_address = context.local.member.control_address
        self._context = context
        self._seeds = [seed for seed in seeds if seed != local_address]
        self._pinger = pinger
        self._synchroniser = synchroniser
        self._fetcher = fetcher
        self._tombstones = tombstones
        self._has_joined = False

    def run(self) -> None:
        """Joins through a seed, then retries dead members and seeds forever."""
        context = self._context
        settings = context.settings
        if not self._seeds:
            self._has_joined = True
            self._synchroniser.complete_without_peer()
        while not self._has_joined:
            self._ask_seeds()
            # Jitter keeps nodes that start together from retrying in lockstep.
            jitter = context.random.uniform(0.5, 1.5)
            context.clock.sleep_ms(settings.join_retry_ms * jitter)
        while True:
            context.clock.sleep_ms(settings.reconnect_period_ms)
            self._reconnect()

    def on_join(self, sender: Address, message: Join) -> None:
        """Adds a new member and sends it records of some members."""
        context = self._context
        known = context.table.get(sender)
        if known is not None and Record.of(known) == message.record:
            # The record came from this process, not from an earlier one
            # with its address.
            known = None
        context.updater.apply_record(message.record, disseminate=True)
        live = context.table.index.live.sample(context.random, _CANDIDATE_PEERS)
        candidates = [
            context.table.get(address) for address in live if address != sender
        ]
        members = [context.local.member]
        members += [
            candidate for candidate in candidates if candidate is not None
        ]
        unique = {member.control_address: member for member in members}
        reply = JoinReply(
            previous=None if known is None else known.incarnation,
            entries=context.outbox.fitting_records(
                list(unique.values()), MAX_LIST_BYTES
            ),
        )
        context.outbox.send_limited(sender, reply)
        context.outbox.gossip()

    def on_reply(self, sender: Address, message: JoinReply) -> None:
        """Applies the records that a seed has sent."""
        context = self._context
        for record in message.entries:
            context.updater.apply_record(record, disseminate=False)
        if self._has_joined:
            return
        self._has_joined = True
        context.contact.add_recent(sender)
        previous = message.previous
        local = context.local
        if previous is not None and previous >= local.member.incarnation:
            # An earlier process had this address; a higher incarnation
            # replaces its state.
            local.raise_incarnation(previous + 1)
        self._synchroniser.start(sender)
        self._fetcher.start()

    def _ask_seeds(self) -> None:
        count = min(_SEEDS_PER_ATTEMPT, len(self._seeds))
        for seed in self._context.random.sample(self._seeds, count):
            self._send_join(seed)

    def _send_join(self, seed: Address) -> None:
        record = Record.of(self._context.local.member)
        self._context.outbox.send(seed, Join(record=record))

    def _reconnect(self) -> None:
        context = self._context
        address = self._tombstones.dead.draw(context.random)
        member = None if address is None else context.table.get(address)
        if member is not None:
            self._pinger.ping(member)
        missing = [
            seed for seed in self._seeds if seed not in context.table.index.live
        ]
        if missing:
            self._send_join(context.random.choice(missing))
