"""Entry into the membership, and return after a partition."""

from anvilthread.address import Address
from anvilthread.membership.fetcher import Fetcher
from anvilthread.membership.node_context import NodeContext
from anvilthread.membership.outbox import LIST_BYTES
from anvilthread.membership.pinger import Pinger
from anvilthread.membership.sync_messages import Join, JoinReply
from anvilthread.membership.synchroniser import Synchroniser
from anvilthread.membership.tombstones import Tombstones
from anvilthread.membership.wire import Record

_SEEDS_AT_ONCE = 3

#: Members from which the records for a new member are chosen.
_OFFERED = 32


class Joiner:
    """Introduces this node to seeds, and helps others to join.

    Args:
        context: Shared parts of the node.
        seeds: Control addresses from the settings; may include the own one.
        pinger: Sends the pings to dead members.
        synchroniser: Compares tables once a seed has answered.
        fetcher: Fetches the table once a seed has answered.
        tombstones: Members to try again.
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
        own_address = context.own.member.control_address
        self._context = context
        self._seeds = [seed for seed in seeds if seed != own_address]
        self._pinger = pinger
        self._synchroniser = synchroniser
        self._fetcher = fetcher
        self._tombstones = tombstones
        self._has_joined = False

    def run(self) -> None:
        """Asks seeds until one answers, then tries lost members forever."""
        context = self._context
        settings = context.settings
        if not self._seeds:
            self._has_joined = True
            self._synchroniser.settle()
        while not self._has_joined:
            self._ask_seeds()
            # Nodes that start together must not ask the seeds in step.
            share = context.random.uniform(0.5, 1.5)
            context.clock.sleep_ms(settings.join_retry_ms * share)
        while True:
            context.clock.sleep_ms(settings.reconnect_period_ms)
            self._try_lost()

    def on_join(self, sender: Address, message: Join) -> None:
        """Takes in a new member and gives it some peers."""
        context = self._context
        known = context.table.get(sender)
        if known is not None and Record.of(known) == message.record:
            # Learned from this very member, not from an earlier process.
            known = None
        context.updater.take_record(message.record, spread=True)
        live = context.table.index.live.sample(context.random, _OFFERED)
        offered = [context.table.get(it) for it in live if it != sender]
        members = [context.own.member]
        members += [it for it in offered if it is not None]
        unique = {member.control_address: member for member in members}
        reply = JoinReply(
            previous=None if known is None else known.incarnation,
            entries=context.outbox.records(list(unique.values()), LIST_BYTES),
        )
        context.outbox.send_limited(sender, reply)
        context.outbox.spread()

    def on_reply(self, sender: Address, message: JoinReply) -> None:
        """Takes the peers that a seed offers."""
        context = self._context
        for record in message.entries:
            context.updater.take_record(record, spread=False)
        if self._has_joined:
            return
        self._has_joined = True
        context.contact.welcome(sender)
        previous = message.previous
        own = context.own
        if previous is not None and previous >= own.member.incarnation:
            # An earlier process had this address; its state must not stick.
            own.renew(previous + 1)
        self._synchroniser.start(sender)
        self._fetcher.start()

    def _ask_seeds(self) -> None:
        count = min(_SEEDS_AT_ONCE, len(self._seeds))
        for seed in self._context.random.sample(self._seeds, count):
            self._join(seed)

    def _join(self, seed: Address) -> None:
        record = Record.of(self._context.own.member)
        self._context.outbox.send(seed, Join(record=record))

    def _try_lost(self) -> None:
        context = self._context
        lost = self._tombstones.dead.draw(context.random)
        member = None if lost is None else context.table.get(lost)
        if member is not None:
            self._pinger.ping(member)
        absent = [
            it for it in self._seeds if it not in context.table.index.live
        ]
        if absent:
            self._join(context.random.choice(absent))
