"""Discovery and registration through the list of nodes in the store."""

from random import Random
from typing import Final

from result import Err

from anvilthread.clock import Clock
from anvilthread.error import AnvilthreadError
from anvilthread.flows.introducer import Introducer
from anvilthread.flows.node_directory import ListedHosts, NodeDirectory
from anvilthread.flows.node_record import NodeRole
from anvilthread.flows.roster import Roster
from anvilthread.flows.store_era import StoreEra
from anvilthread.telemetry.log import Log

#: Time after its start at which a node without peers reads the list.
#: Contacts that are up answer within a few ms. Agents wait longer: balancers
#: start later, with a smaller share of a processor, and then read the list
#: themselves.
_FIRST_READ_DELAY_MS: Final = {NodeRole.BALANCER: 20, NodeRole.AGENT: 1500}

#: Time between two reads while the node has no peers.
_READ_INTERVAL_MS: Final = 500

#: Delay and jitter of the registration after the start, so that a starting
#: cluster does not overload the store.
_REGISTRATION_DELAY_MS: Final = 3000
_REGISTRATION_JITTER_MS: Final = 3000

#: Mean delay after a failed registration.
_RETRY_DELAY_MS: Final = 5000

#: Delay of a repeated registration after a restore of the store, at most: 5 ms
#: per known node, so that 200 entries per second are written, but no less than
#: 500 ms. The store may have lost the entries of all nodes.
_RESTORED_DELAY_PER_NODE_MS: Final = 5
_RESTORED_DELAY_MS: Final = 500

#: Mean delay after a failed repeat. The store has just answered a node, so
#: that an outage is unlikely.
_RESTORED_RETRY_DELAY_MS: Final = 500


class DirectoryClient:
    """Reads the list while this node has no peers, and registers this node.

    A restore of the store may have taken the entry away, so the registration
    is repeated in each era of the store.

    Args:
        clock: Source of delays.
        random: Source of the jitter.
        directory: The list.
        roster: This node and its peers.
        introducer: Contacts the hosts of the list.
        store_era: Learns of restores of the store.
        log: Receives reads and failures.
    """

    __slots__ = (
        '_clock',
        '_directory',
        '_ignored',
        '_introducer',
        '_log',
        '_random',
        '_roster',
        '_store_era',
    )

    def __init__(
        self,
        *,
        clock: Clock,
        random: Random,
        directory: NodeDirectory,
        roster: Roster,
        introducer: Introducer,
        store_era: StoreEra,
        log: Log,
    ) -> None:
        self._clock = clock
        self._random = random
        self._directory = directory
        self._roster = roster
        self._introducer = introducer
        self._store_era = store_era
        self._log = log
        #: Entries ignored at the last read.
        self._ignored = 0

    def discover(self) -> None:
        """Reads the list until a node of the other role has answered."""
        self._clock.sleep_ms(_FIRST_READ_DELAY_MS[self._roster.local_node.role])
        while self._roster.is_alone:
            answer = self._directory.hosts()
            if isinstance(answer, Err):
                self._warn('directory_read_failed', answer.err_value)
            else:
                self._contact(answer.ok_value)
            self._clock.sleep_ms(_READ_INTERVAL_MS)

    def register(self) -> None:
        """Keeps this node listed in every era of the store; never returns."""
        self._clock.sleep_ms(
            _REGISTRATION_DELAY_MS
            + self._random.randint(0, _REGISTRATION_JITTER_MS)
        )
        retry_delay_ms = _RETRY_DELAY_MS
        while True:
            era = self._register_once(retry_delay_ms)
            self._store_era.wait_beyond(era)
            delay_ms = _RESTORED_DELAY_PER_NODE_MS * len(self._roster.nodes)
            self._clock.sleep_ms(
                self._random.randint(0, max(delay_ms, _RESTORED_DELAY_MS))
            )
            retry_delay_ms = _RESTORED_RETRY_DELAY_MS

    def _contact(self, listed: ListedHosts) -> None:
        """Sends hellos to the hosts of the list."""
        self._log.event('directory_read', hosts=len(listed.hosts))
        is_changed = listed.ignored != self._ignored
        self._ignored = listed.ignored
        if listed.ignored and is_changed:
            self._log.warning(
                'directory_entries_ignored',
                ignored=listed.ignored,
                remedy='remove the entries that name no IPv4 address',
            )
        self._introducer.add_contacts(listed.hosts)
        self._introducer.send_hellos(listed.hosts)

    def _register_once(self, retry_delay_ms: int) -> int:
        """Retries until the store accepts the entry.

        Returns:
            Era in which the entry exists, or the one known before the call if
            that is higher: a wrong era of a peer must not cause a loop.
        """
        host = self._roster.local_node.host
        while True:
            known_era = self._store_era.number
            answer = self._directory.register(host)
            if not isinstance(answer, Err):
                era = answer.ok_value
                self._log.event('node_registered', host=host, era=era)
                return max(era, known_era)
            self._warn('registration_failed', answer.err_value)
            share = self._random.uniform(0.5, 1.5)
            self._clock.sleep_ms(retry_delay_ms * share)

    def _warn(self, name: str, error: AnvilthreadError) -> None:
        self._log.warning(name, reason=error.reason, remedy=error.remedy)
