"""Dead and left members that are still remembered."""

from collections import deque

from anvilthread.address import Address
from anvilthread.clock import Clock
from anvilthread.membership.member_change import MemberChange
from anvilthread.membership.member_pool import MemberPool
from anvilthread.membership.member_state import MemberState
from anvilthread.membership.member_table import MemberTable


class Tombstones:
    """Forgets members some time after they died or left.

    Until then an old message cannot bring them back, and the dead are probed
    now and then, since a partition may have caused the death.

    Args:
        clock: Clock of the memory.
        table: Table that the members are removed from.
        kept_ms: Time for which a member is remembered.
    """

    __slots__ = ('_clock', '_dead', '_ends', '_kept_ms', '_table')

    def __init__(
        self, *, clock: Clock, table: MemberTable, kept_ms: int
    ) -> None:
        self._clock = clock
        self._table = table
        self._kept_ms = kept_ms
        self._dead = MemberPool()
        self._ends: deque[tuple[int, Address, int]] = deque()

    @property
    def dead(self) -> MemberPool:
        """Members that may turn out to be up."""
        return self._dead

    def on_change(self, change: MemberChange) -> None:
        """Follows the table."""
        member = change.after
        if change.before is not None:
            self._dead.discard(change.before.control_address)
        if member is None or member.is_live:
            return
        address = member.control_address
        if member.state == MemberState.DEAD:
            self._dead.add(address)
        now_ms = self._clock.now_ms()
        self._ends.append((now_ms, address, member.incarnation))

    def run(self) -> None:
        """Forgets the members whose time is over."""
        end_ms = self._clock.now_ms() - self._kept_ms
        while self._ends and self._ends[0][0] <= end_ms:
            _, address, incarnation = self._ends.popleft()
            member = self._table.get(address)
            if member is None or member.is_live:
                continue
            if member.incarnation == incarnation:
                self._table.forget(address)
