"""Transfer of the whole table to a new member."""

from typing import Final

from anvilthread.address import Address
from anvilthread.membership.digest import BUCKETS
from anvilthread.membership.fetch_messages import FetchReply, FetchRequest
from anvilthread.membership.fetch_range import FetchRange
from anvilthread.membership.member import Member
from anvilthread.membership.node_context import NodeContext
from anvilthread.membership.outbox import MAX_LIST_BYTES, MAX_MESSAGE_BYTES
from anvilthread.membership.peer_selector import PeerSelector
from anvilthread.membership.token_bucket import TokenBucket

_PARALLEL_RANGES: Final = 8
_RANGE_BUCKETS: Final = BUCKETS // _PARALLEL_RANGES


class Fetcher:
    """Requests the table from many peers, and answers such requests.

    Each request asks one peer for one datagram. Comparing digests is expensive
    when nearly the whole table is missing. No peer sends more than its byte
    limit of repairs.

    Args:
        context: Shared components of the node.
        peer_selector: Selects the peers.
    """

    __slots__ = ('_budget', '_context', '_peer_selector', '_ranges')

    def __init__(
        self, context: NodeContext, peer_selector: PeerSelector
    ) -> None:
        self._context = context
        self._peer_selector = peer_selector
        self._ranges: list[FetchRange] = []
        self._budget = TokenBucket(
            clock=context.clock,
            per_second=context.settings.fetch_bytes_per_second,
            burst=_PARALLEL_RANGES * MAX_MESSAGE_BYTES,
        )

    def start(self) -> None:
        """Starts to fetch the whole table."""
        self._ranges = [
            FetchRange(first=first, end=first + _RANGE_BUCKETS)
            for first in range(0, BUCKETS, _RANGE_BUCKETS)
        ]
        self.request_next()

    def request_next(self) -> None:
        """Requests the next part of every idle range."""
        now_ms = self._context.clock.now_ms()
        retry_ms = self._context.settings.fetch_retry_ms
        for fetch_range in self._ranges:
            if fetch_range.is_idle(now_ms, retry_ms):
                self._request(fetch_range)

    def on_fetch_request(self, sender: Address, message: FetchRequest) -> None:
        """Sends the members of as many buckets as fit."""
        table = self._context.table
        fitting: list[Member] = []
        room_bytes = MAX_LIST_BYTES
        following = message.first
        while following < message.end:
            addresses = table.digest.addresses(following)
            members = [known for known in map(table.get, addresses) if known]
            live = [member for member in members if member.is_live]
            room_bytes -= self._context.outbox.records_size(live)
            if room_bytes < 0 and following > message.first:
                break
            fitting.extend(live)
            following += 1
        reply = FetchReply(
            first=message.first,
            following=following,
            entries=self._context.outbox.fitting_records(
                fitting, MAX_LIST_BYTES
            ),
        )
        self._context.outbox.send_limited(sender, reply)

    def on_fetch_reply(self, sender: Address, message: FetchReply) -> None:
        """Applies the received members and requests the next buckets."""
        for record in message.entries:
            self._context.updater.apply_record(record, disseminate=False)
        for fetch_range in self._ranges:
            if fetch_range.first == message.first:
                fetch_range.advance(message.following)
        self._ranges = [
            fetch_range
            for fetch_range in self._ranges
            if not fetch_range.is_done
        ]
        self.request_next()

    def _request(self, fetch_range: FetchRange) -> None:
        peer = self._peer_selector.select()
        if peer is None or not self._budget.take(MAX_MESSAGE_BYTES):
            return
        fetch_range.mark_requested(self._context.clock.now_ms())
        request = FetchRequest(first=fetch_range.first, end=fetch_range.end)
        self._context.outbox.send(peer, request)
