"""The operators' configuration and its replication to every node."""

from anvilthread.configuration.applied import Applied
from anvilthread.configuration.applier import STORE_KEY, Applier
from anvilthread.configuration.apply_error import (
    ApplyConflict,
    ApplyError,
    ApplyRefused,
    ApplyStoreBehind,
    ApplyUnavailable,
    ApplyUnknown,
)
from anvilthread.configuration.configuration import Configuration
from anvilthread.configuration.configuration_node import ConfigurationNode
from anvilthread.configuration.difference import describe_history, diff_texts
from anvilthread.configuration.invalid_configuration import (
    InvalidConfigurationError,
)
from anvilthread.configuration.key_change import KeyChange, list_changes
from anvilthread.configuration.loader import load_configurations, load_site
from anvilthread.configuration.peers import ConfigurationPeers
from anvilthread.configuration.proposal import Proposal
from anvilthread.configuration.record import Change, ConfigurationRecord
from anvilthread.configuration.record_codec import (
    decode_record,
    encode_record,
)
from anvilthread.configuration.review import review_texts
from anvilthread.configuration.service import Service
from anvilthread.configuration.texts import (
    ConfigurationTexts,
    texts_from_files,
)

__all__ = (
    'STORE_KEY',
    'Applied',
    'Applier',
    'ApplyConflict',
    'ApplyError',
    'ApplyRefused',
    'ApplyStoreBehind',
    'ApplyUnavailable',
    'ApplyUnknown',
    'Change',
    'Configuration',
    'ConfigurationNode',
    'ConfigurationPeers',
    'ConfigurationRecord',
    'ConfigurationTexts',
    'InvalidConfigurationError',
    'KeyChange',
    'Proposal',
    'Service',
    'decode_record',
    'describe_history',
    'diff_texts',
    'encode_record',
    'list_changes',
    'load_configurations',
    'load_site',
    'review_texts',
    'texts_from_files',
)
