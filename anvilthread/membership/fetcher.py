"""Transfer of the whole table to a new member."""

from typing import Final

from anvilthread.address import Address
from anvilthread.membership.digest import BUCKETS
from anvilthread.membership.fetch_lane import FetchLane
from anvilthread.membership.fetch_messages import Fetch, Fetched
from anvilthread.membership.member import Member
from anvilthread.membership.node_context import NodeContext
from anvilthread.membership.outbox import LIST_BYTES, MAX_MESSAGE_BYTES
from anvilthread.membership.peers import Peers
from anvilthread.membership.token_bucket import TokenBucket

_LANES: Final = 8
_LANE_BUCKETS: Final = BUCKETS // _LANES


class Fetcher:
    """Asks many peers for one datagram each, and answers such requests.

    Comparing digests is dear when nearly everything is missing. No peer
    sends more than its byte limit of repairs.

    Args:
        context: Shared parts of the node.
        peers: Choice of the peers.
    """

    __slots__ = ('_budget', '_context', '_lanes', '_peers')

    def __init__(self, context: NodeContext, peers: Peers) -> None:
        self._context = context
        self._peers = peers
        self._lanes: list[FetchLane] = []
        self._budget = TokenBucket(
            clock=context.clock,
            per_second=context.settings.fetch_bytes_per_second,
            burst=_LANES * MAX_MESSAGE_BYTES,
        )

    def start(self) -> None:
        """Begins to fetch the whole table."""
        self._lanes = [
            FetchLane(first=first, end=first + _LANE_BUCKETS)
            for first in range(0, BUCKETS, _LANE_BUCKETS)
        ]
        self.run()

    def run(self) -> None:
        """Asks for the next part of every lane that waits for nothing."""
        now_ms = self._context.clock.now_ms()
        retry_ms = self._context.settings.fetch_retry_ms
        for lane in self._lanes:
            if lane.is_idle(now_ms, retry_ms):
                self._ask(lane)

    def on_fetch(self, sender: Address, message: Fetch) -> None:
        """Sends the members of as many buckets as fit."""
        table = self._context.table
        fitting: list[Member] = []
        room = LIST_BYTES
        following = message.first
        while following < message.end:
            addresses = table.digest.addresses(following)
            members = [it for it in map(table.get, addresses) if it]
            live = [member for member in members if member.is_live]
            room -= self._context.outbox.records_size(live)
            if room < 0 and following > message.first:
                break
            fitting.extend(live)
            following += 1
        reply = Fetched(
            first=message.first,
            following=following,
            entries=self._context.outbox.records(fitting, LIST_BYTES),
        )
        self._context.outbox.send_limited(sender, reply)

    def on_fetched(self, sender: Address, message: Fetched) -> None:
        """Takes the members of some buckets, and asks for the next."""
        for record in message.entries:
            self._context.updater.take_record(record, spread=False)
        for lane in self._lanes:
            if lane.first == message.first:
                lane.advance(message.following)
        self._lanes = [lane for lane in self._lanes if not lane.is_done]
        self.run()

    def _ask(self, lane: FetchLane) -> None:
        peer = self._peers.draw()
        if peer is None or not self._budget.take(MAX_MESSAGE_BYTES):
            return
        lane.ask(self._context.clock.now_ms())
        request = Fetch(first=lane.first, end=lane.end)
        self._context.outbox.send(peer, request)
