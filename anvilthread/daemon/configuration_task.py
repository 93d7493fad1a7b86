"""Brings the configuration to a node."""

from pathlib import Path

from result import Err

from anvilthread.daemon.local_configuration import read_local_configuration
from anvilthread.daemon.node import Node


class ConfigurationTask:
    """Puts the configuration of files and peers in force.

    Args:
        node: The process.
    """

    __slots__ = ('_node',)

    def __init__(self, *, node: Node) -> None:
        self._node = node

    def start(self) -> None:
        """Reads local files, if the settings name some."""
        settings = self._node.settings
        if settings.configuration is not None:
            self._read_files(Path(settings.configuration))

    def _read_files(self, directory: Path) -> None:
        loaded = read_local_configuration(directory, self._node.settings.site)
        if isinstance(loaded, Err):
            raise loaded.err_value
        self._node.view.adopt(loaded.ok_value, revision=0)
        self._node.log.event('configuration_in_force', revision=0)
