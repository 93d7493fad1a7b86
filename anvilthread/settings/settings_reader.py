"""Reading and validation of the settings of one process."""

import difflib
from collections.abc import Iterator
from pathlib import Path
from typing import Any, Final, Generic, TypeVar, get_type_hints

import msgspec
from result import Err, Ok, Result

from anvilthread.file_fault import FileFault
from anvilthread.settings.address_check import check_addresses
from anvilthread.settings.agent_settings import AgentSettings
from anvilthread.settings.balancer_settings import BalancerSettings
from anvilthread.settings.field_reader import FieldReader
from anvilthread.settings.node_settings import NodeSettings
from anvilthread.settings.settings_error import SettingsError
from anvilthread.settings.toml_file import read_toml

SettingsT = TypeVar('SettingsT', bound=NodeSettings)

_ABSENT: Final = object()
#: Cutoff for difflib; lower values suggest keys that share only a few letters.
_MIN_SIMILARITY: Final = 0.75


class SettingsReader(Generic[SettingsT]):
    """Reads one kind of settings and reports every fault at once.

    Args:
        settings_type: The settings to read.
    """

    __slots__ = ('_settings_type', '_types')

    def __init__(self, *, settings_type: type[SettingsT]) -> None:
        self._settings_type = settings_type
        self._types = get_type_hints(settings_type, include_extras=True)

    def read(self, path: Path) -> Result[SettingsT, SettingsError]:
        """Reads a settings file.

        Args:
            path: The TOML file.

        Returns:
            The settings, or an error with every fault of the file.
        """
        table = read_toml(path)
        if isinstance(table, Err):
            return table
        return self.convert(table.ok_value, path=path)

    def convert(
        self, table: dict[str, Any], *, path: Path
    ) -> Result[SettingsT, SettingsError]:
        """Validates a parsed table.

        Args:
            table: Values by key.
            path: The TOML file; relative paths are resolved against its
                directory.

        Returns:
            The settings, or an error with every fault.
        """
        reader = FieldReader(path=path)
        faults = list(self._unknown_keys(table, reader))
        converted: dict[str, Any] = {}
        for field in msgspec.structs.fields(self._settings_type):
            value = table.get(field.name, _ABSENT)
            outcome = self._read_field(field, value, reader)
            if isinstance(outcome, Err):
                faults.append(outcome.err_value)
            elif outcome.ok_value is not _ABSENT:
                converted[field.name] = outcome.ok_value
        faults.extend(check_addresses(converted, reader))
        if faults:
            return Err(SettingsError(faults=faults))
        return Ok(self._settings_type(**converted))

    def _read_field(
        self,
        field: msgspec.structs.FieldInfo,
        value: object,
        reader: FieldReader,
    ) -> Result[Any, FileFault]:
        setting_type = self._types[field.name]
        if value is not _ABSENT:
            return reader.read(field.name, value, setting_type)
        if field.required:
            return Err(reader.missing(field.name, setting_type))
        return Ok(_ABSENT)

    def _unknown_keys(
        self, table: dict[str, Any], reader: FieldReader
    ) -> Iterator[FileFault]:
        for key in table:
            if key not in self._types:
                yield reader.fault(
                    key, 'is not a known key', self._unknown_key_remedy(key)
                )

    def _unknown_key_remedy(self, key: str) -> str:
        matches = difflib.get_close_matches(
            key, self._types, n=1, cutoff=_MIN_SIMILARITY
        )
        if matches:
            return f'write `{matches[0]}` or remove it'
        return 'remove it; docs/operators.md lists the keys'


def read_balancer_settings(
    path: Path,
) -> Result[BalancerSettings, SettingsError]:
    """Reads the settings of a balancer."""
    return SettingsReader(settings_type=BalancerSettings).read(path)


def read_agent_settings(path: Path) -> Result[AgentSettings, SettingsError]:
    """Reads the settings of an agent."""
    return SettingsReader(settings_type=AgentSettings).read(path)
