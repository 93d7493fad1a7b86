"""TOML settings of a process and keys of its cluster."""

from anvilthread.file_fault import FileFault
from anvilthread.settings.agent_settings import AgentSettings
from anvilthread.settings.balancer_settings import BalancerSettings
from anvilthread.settings.key_file import KeyFile
from anvilthread.settings.key_ring import KeyRing
from anvilthread.settings.keys import Keys
from anvilthread.settings.node_settings import NodeSettings
from anvilthread.settings.settings_error import SettingsError
from anvilthread.settings.settings_reader import (
    read_agent_settings,
    read_balancer_settings,
)

__all__ = (
    'AgentSettings',
    'BalancerSettings',
    'KeyFile',
    'KeyRing',
    'Keys',
    'NodeSettings',
    'SettingsError',
    'FileFault',
    'read_agent_settings',
    'read_balancer_settings',
)
