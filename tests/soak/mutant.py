"""Starts a process with a deliberate fault.

The soak must detect each of them; see test_mutants.py.
"""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / 'platform'))

import main
from packet_codec import PacketCodec

from anvilthread.flows.evacuation_holder import EvacuationHolder
from anvilthread.flows.flow_agent import FlowAgent
from anvilthread.flows.flow_balancer import FlowBalancer
from anvilthread.flows.flow_opener import FlowOpener
from anvilthread.flows.holder_search import HolderSearch
from anvilthread.flows.roster import Roster
from anvilthread.flows.route_holder import RouteHolder
from anvilthread.flows.silence_check import SilenceCheck
from anvilthread.flows.target_watch import TargetWatch


def ignore_draining() -> None:
    """Places new flows on a draining target."""
    TargetWatch.accepts = property(lambda self: True)
    TargetWatch.is_draining = property(lambda self: False)


def ignore_new_versions() -> None:
    """Never applies a configuration that removes a route."""
    update = RouteHolder.update

    def keep(self, table, source):
        if len(table) < len(self.table):
            return False
        return update(self, table, source)

    RouteHolder.update = keep


def mix_services() -> None:
    """Places flows on the agents of any service."""

    def agents(self, service):
        return [node for node in self.nodes if node.record.service]

    Roster.agents = agents
    FlowAgent._refusal = lambda self, packet, message: ''  # noqa: SLF001
    on_forward = FlowAgent.on_forward

    def forward(self, host, message):
        self._service = message.service  # noqa: SLF001
        on_forward(self, host, message)

    FlowAgent.on_forward = forward


def reset_moved_flows() -> None:
    """Resets a flow that its balancer does not know, instead of searching."""

    def search_holder(self, packet, denied_by=''):
        resets = self._resets  # noqa: SLF001
        resets.send(packet.key, packet.acknowledged, 'mutant')

    FlowBalancer._search_holder = search_holder  # noqa: SLF001


def alter_packets() -> None:
    """Alters the last byte of packets from clients."""
    from_client = PacketCodec.from_client

    def alter(self, content):
        if len(content) > 40:
            content = b''.join((content[:-1], b'?'))
        return from_client(self, content)

    PacketCodec.from_client = alter


def ignore_evacuations() -> None:
    """Never excludes a site."""
    EvacuationHolder.sites = property(lambda self: frozenset())


def trust_silence() -> None:
    """Resets the flows of a target that leaves opening packets unanswered."""

    def begin(self, since_ms):
        self._since_ms = since_ms  # noqa: SLF001
        self._is_refused = True  # noqa: SLF001

    SilenceCheck.begin = begin


def serve_nobody() -> None:
    """Neither places a flow nor searches for its holder."""
    HolderSearch.start = lambda *_args, **_named: None
    FlowOpener._place = lambda self, flow: False  # noqa: SLF001


MUTANTS = {
    mutant.__name__: mutant
    for mutant in (
        ignore_draining,
        ignore_new_versions,
        mix_services,
        reset_moved_flows,
        alter_packets,
        ignore_evacuations,
        trust_silence,
        serve_nobody,
    )
}

if __name__ == '__main__':
    MUTANTS[sys.argv[1]]()
    sys.exit(main.main())
