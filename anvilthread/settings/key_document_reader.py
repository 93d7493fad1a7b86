"""Validation of the tables of a key file."""

from collections.abc import Mapping
from pathlib import Path
from typing import Any, Final, TypeVar

from result import Err, Ok, Result

from anvilthread.file_fault import FileFault
from anvilthread.routing.connection_id_codec import KEY_NUMBERS
from anvilthread.settings.field_reader import FieldReader
from anvilthread.settings.key_document import KeyDocument
from anvilthread.settings.key_kind import KeyKind
from anvilthread.settings.key_ring import KeyRing
from anvilthread.settings.key_text import KEY_TYPES
from anvilthread.settings.settings_error import SettingsError
from anvilthread.transport.curve_key_pair import (
    CurveKeyError,
    CurveKeyPair,
)

ValueT = TypeVar('ValueT')

_RING_KEYS: Final = frozenset(('active', 'keys'))
_KNOWN_KINDS: Final = frozenset(KeyKind)
_NUMBERS_BY_TEXT: Final = {str(number): number for number in KEY_NUMBERS}
_NUMBER_REMEDY: Final = 'write the number of one of the keys'
_RESTORE_REMEDY: Final = (
    'restore the file or make one with `anvilthread key new`'
)


class KeyDocumentReader:
    """Validates a parsed key file and collects every fault.

    Args:
        path: The file that the faults name.
    """

    __slots__ = ('_faults', '_reader')

    def __init__(self, *, path: Path) -> None:
        self._reader = FieldReader(path=path)
        self._faults: list[FileFault] = []

    def read(
        self, table: Mapping[str, Any]
    ) -> Result[KeyDocument, SettingsError]:
        """Returns the document, or an error with every fault."""
        for name in table:
            if name not in _KNOWN_KINDS:
                self._add_fault(name, 'is not a known table', 'remove it')
        rings = {
            kind: self._read_ring(kind, table[kind])
            for kind in KeyKind
            if self._has_table(table, kind, name=kind)
        }
        if self._faults:
            return Err(SettingsError(faults=self._faults))
        return Ok(KeyDocument(rings=rings))

    def _read_ring(
        self, kind: KeyKind, table: Mapping[str, Any]
    ) -> KeyRing[str]:
        for name in table:
            if name not in _RING_KEYS:
                self._add_fault(
                    f'{kind}.{name}', 'is not a known key', 'remove it'
                )
        active = self._read_active(kind, table)
        keys = self._read_keys(kind, table)
        if keys and active not in keys:
            self._add_fault(
                f'{kind}.active',
                f'there is no key {active}',
                _NUMBER_REMEDY,
            )
        return KeyRing(keys=keys, active=active)

    def _read_active(self, kind: KeyKind, table: Mapping[str, Any]) -> int:
        name = f'{kind}.active'
        if 'active' not in table:
            self._add_fault(name, 'is missing', _NUMBER_REMEDY)
            return 0
        return self._value_or_default(
            self._reader.read(name, table['active'], int), 0
        )

    def _read_keys(
        self, kind: KeyKind, table: Mapping[str, Any]
    ) -> dict[int, str]:
        name = f'{kind}.keys'
        if not self._has_table(table, 'keys', name=name):
            return {}
        if not table['keys']:
            self._add_fault(name, 'there is no key', _RESTORE_REMEDY)
        return {
            self._parse_number(kind, text): self._read_key(
                f'{kind}.keys.{text}', kind, key
            )
            for text, key in table['keys'].items()
        }

    def _parse_number(self, kind: KeyKind, text: str) -> int:
        if text in _NUMBERS_BY_TEXT:
            return _NUMBERS_BY_TEXT[text]
        self._add_fault(
            f'{kind}.keys.{text}',
            'is not a key number',
            f'use a number from 0 to {KEY_NUMBERS[-1]}',
        )
        return -1

    def _read_key(self, name: str, kind: KeyKind, key: object) -> str:
        outcome = self._reader.read(name, key, KEY_TYPES[kind])
        text: str = self._value_or_default(outcome, '')
        if text and kind is KeyKind.CURVE:
            self._check_curve(name, text)
        return text

    def _check_curve(self, name: str, secret: str) -> None:
        try:
            CurveKeyPair.of_secret(secret.encode())
        except CurveKeyError as error:
            self._add_fault(name, error.reason, _RESTORE_REMEDY)

    def _has_table(
        self, parent: Mapping[str, Any], key: str, *, name: str
    ) -> bool:
        if isinstance(parent.get(key), dict):
            return True
        self._add_fault(name, 'the table is missing', _RESTORE_REMEDY)
        return False

    def _value_or_default(
        self, outcome: Result[ValueT, FileFault], default: ValueT
    ) -> ValueT:
        if isinstance(outcome, Err):
            self._faults.append(outcome.err_value)
            return default
        return outcome.ok_value

    def _add_fault(self, key: str, reason: str, remedy: str) -> None:
        self._faults.append(self._reader.fault(key, reason, remedy))
