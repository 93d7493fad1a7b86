"""Retention of dead and left members."""

from collections import deque

from anvilthread.address import Address
from anvilthread.clock import Clock
from anvilthread.membership.member_change import MemberChange
from anvilthread.membership.member_pool import MemberPool
from anvilthread.membership.member_state import MemberState
from anvilthread.membership.member_table import MemberTable


class Tombstones:
    """Forgets members some time after they died or left.

    Until then an outdated message cannot revive them, and dead members are
    pinged periodically, since a partition may have caused the death.

    Args:
        clock: Clock of the retention time.
        table: Table that the members are removed from.
        retention_ms: Time for which a member is kept in the table.
    """

    __slots__ = ('_clock', '_dead', '_entries', '_retention_ms', '_table')

    def __init__(
        self, *, clock: Clock, table: MemberTable, retention_ms: int
    ) -> None:
        self._clock = clock
        self._table = table
        self._retention_ms = retention_ms
        self._dead = MemberPool()
        self._entries: deque[tuple[int, Address, int]] = deque()

    @property
    def dead(self) -> MemberPool:
        """Dead members that are pinged periodically."""
        return self._dead

    def on_change(self, change: MemberChange) -> None:
        """Updates the tombstones after a change of the table."""
        member = change.after
        if change.before is not None:
            self._dead.discard(change.before.control_address)
        if member is None or member.is_live:
            return
        address = member.control_address
        if member.state == MemberState.DEAD:
            self._dead.add(address)
        now_ms = self._clock.now_ms()
        self._entries.append((now_ms, address, member.incarnation))

    def expire(self) -> None:
        """Forgets the members whose retention time has passed."""
        cutoff_ms = self._clock.now_ms() - self._retention_ms
        while self._entries and self._entries[0][0] <= cutoff_ms:
            _, address, incarnation = self._entries.popleft()
            member = self._table.get(address)
            if member is None or member.is_live:
                continue
            if member.incarnation == incarnation:
                self._table.forget(address)
