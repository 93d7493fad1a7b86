"""When a node uses the list of nodes in the store."""

from random import Random
from typing import Final

from result import Err

from anvilthread.clock import Clock
from anvilthread.error import AnvilthreadError
from anvilthread.flows.introducer import Introducer
from anvilthread.flows.node_directory import NodeDirectory
from anvilthread.flows.node_record import NodeRole
from anvilthread.flows.roster import Roster
from anvilthread.telemetry.log import Log

#: A node that is still alone after this time reads the list. Contacts that
#: are up answer within some ms. Agents wait longer: balancers start later,
#: on less of a processor, and then read the list themselves.
_ALONE_MS: Final = {NodeRole.BALANCER: 20, NodeRole.AGENT: 1500}

#: Pause between two reads while still alone.
_READ_PAUSE_MS: Final = 500

#: A node registers once it has been up for this long, so that a cluster that
#: starts does not press on the store.
_REGISTER_MS: Final = 3000
_REGISTER_SPREAD_MS: Final = 3000

#: Pause after a failed registration.
_RETRY_MS: Final = 5000


class DirectoryUser:
    """Reads the list while no node is known, and adds this node to it.

    Args:
        clock: Source of delays.
        random: Source of the spread of registrations.
        directory: The list.
        roster: This node and its peers.
        introducer: Takes the hosts as contacts.
        log: Receives what was read and what failed.
    """

    __slots__ = (
        '_clock',
        '_directory',
        '_introducer',
        '_log',
        '_random',
        '_roster',
    )

    def __init__(
        self,
        *,
        clock: Clock,
        random: Random,
        directory: NodeDirectory,
        roster: Roster,
        introducer: Introducer,
        log: Log,
    ) -> None:
        self._clock = clock
        self._random = random
        self._directory = directory
        self._roster = roster
        self._introducer = introducer
        self._log = log

    def find(self) -> None:
        """Reads the list until some node has answered."""
        self._clock.sleep_ms(_ALONE_MS[self._roster.own.role])
        while self._roster.is_alone:
            answer = self._directory.hosts()
            if isinstance(answer, Err):
                self._warn('directory_read_failed', answer.err_value)
            else:
                hosts = answer.ok_value
                self._log.event('directory_read', hosts=len(hosts))
                self._introducer.add_contacts(hosts)
                self._introducer.greet(hosts)
            self._clock.sleep_ms(_READ_PAUSE_MS)

    def register(self) -> None:
        """Adds this node to the list, once the store takes it."""
        spread_ms = self._random.randint(0, _REGISTER_SPREAD_MS)
        self._clock.sleep_ms(_REGISTER_MS + spread_ms)
        while True:
            answer = self._directory.register(self._roster.own.host)
            if not isinstance(answer, Err):
                return
            self._warn('registration_failed', answer.err_value)
            share = self._random.uniform(0.5, 1.5)
            self._clock.sleep_ms(_RETRY_MS * share)

    def _warn(self, name: str, error: AnvilthreadError) -> None:
        self._log.warning(name, reason=error.reason, remedy=error.remedy)
