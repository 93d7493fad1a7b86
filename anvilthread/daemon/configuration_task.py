"""Keeps the configuration of a node up to date."""

from pathlib import Path

from result import Err

from anvilthread.configuration import (
    Configuration,
    ConfigurationNode,
    ConfigurationRecord,
)
from anvilthread.daemon.configuration_members import ConfigurationMembers
from anvilthread.daemon.local_configuration import read_local_configuration
from anvilthread.daemon.node import Node
from anvilthread.membership import MemberChange
from anvilthread.store import Store
from anvilthread.store.consul_store import ConsulStore
from anvilthread.store.no_store import NoStore
from anvilthread.transport import ChannelName


class ConfigurationTask:
    """Puts configurations from local files, the store and peers in force.

    Args:
        node: The process.
    """

    __slots__ = ('_configuration', '_node')

    def __init__(self, *, node: Node) -> None:
        self._node = node
        members = ConfigurationMembers(
            table=node.membership.table, site=node.settings.site
        )
        self._configuration = ConfigurationNode(
            site=node.settings.site,
            store=_open_store(node),
            transport=node.channels.channel(ChannelName.CONFIGURATION),
            peers=members,
            clock=node.clock,
            random=node.random,
        )

    def start(self) -> None:
        """Reads local files, if there are any, and follows the store."""
        settings = self._node.settings
        if settings.configuration is not None:
            self._read_files(Path(settings.configuration))
        self._configuration.subscribe(self._adopt)
        self._node.membership.table.subscribe(self._on_member_change)
        self._configuration.start()

    def _read_files(self, directory: Path) -> None:
        loaded = read_local_configuration(directory, self._node.settings.site)
        if isinstance(loaded, Err):
            raise loaded.err_value
        self._node.view.adopt(loaded.ok_value, revision=0)
        self._node.log.event('configuration_in_force', revision=0)

    def _adopt(
        self, record: ConfigurationRecord, configuration: Configuration
    ) -> None:
        if self._node.view.adopt(configuration, record.revision):
            self._node.membership.set_configuration_revision(record.revision)
            self._node.log.event(
                'configuration_in_force',
                revision=record.revision,
                change=record.change.change_id,
                operator=record.change.operator,
            )

    def _on_member_change(self, change: MemberChange) -> None:
        member = change.after
        if member is not None and member.is_live:
            self._configuration.peer_revision(
                member.request_address, member.configuration_revision
            )


def _open_store(node: Node) -> Store:
    url = node.settings.store
    if url is None:
        return NoStore()
    return ConsulStore(url=str(url), clock=node.clock)
