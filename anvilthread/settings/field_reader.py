"""Conversion of one TOML value to the type of a setting."""

import json
from collections.abc import Callable
from ipaddress import IPv4Address
from pathlib import Path
from typing import Any, Final, get_args

import msgspec
from result import Err, Ok, Result

from anvilthread.address import Address
from anvilthread.file_fault import FileFault

_ERROR_PATH_SEPARATOR: Final = ' - at `$'


class FieldReader:
    """Converts the values of one file and creates its faults.

    Args:
        path: The file; relative paths in it are resolved against its
            directory.
    """

    __slots__ = ('_decoders', '_path')

    def __init__(self, *, path: Path) -> None:
        self._path = path
        self._decoders: dict[type, Callable[[str], object]] = {
            Address: _parse_address,
            IPv4Address: IPv4Address,
            Path: self._resolve,
        }

    def read(
        self, key: str, value: object, setting_type: object
    ) -> Result[Any, FileFault]:
        """Converts one value.

        Args:
            key: Dotted key of the value.
            value: Value as parsed from TOML.
            setting_type: Type of the setting, annotated with its ``Meta``.

        Returns:
            The converted value, or the fault.
        """
        try:
            return Ok(
                msgspec.convert(value, setting_type, dec_hook=self._decode)
            )
        except msgspec.ValidationError as error:
            reason = _describe_error(str(error))
        return Err(
            self.fault(key, reason, f'write {_example_text(key, setting_type)}')
        )

    def missing(self, key: str, setting_type: object) -> FileFault:
        """Creates the fault of a required key that is absent."""
        return self.fault(
            key, 'is missing', f'add {_example_text(key, setting_type)}'
        )

    def fault(self, key: str, reason: str, remedy: str) -> FileFault:
        """Creates a fault in this file."""
        return FileFault(
            file=str(self._path), key=key, reason=reason, remedy=remedy
        )

    def _decode(self, setting_type: type, value: object) -> object:
        if not isinstance(value, str):
            raise ValueError(f'Expected `str`, got `{type(value).__name__}`')
        return self._decoders[setting_type](value)

    def _resolve(self, text: str) -> Path:
        if not text:
            raise ValueError('path is empty')
        return self._path.parent / text


def _parse_address(text: str) -> Address:
    parsed = Address.parse(text)
    if isinstance(parsed, Err):
        raise ValueError(parsed.err_value.reason)
    return parsed.ok_value


def _describe_error(message: str) -> str:
    # msgspec appends the path inside the value, which only arrays have.
    text, _, position = message.partition(_ERROR_PATH_SEPARATOR)
    return f'{text} (element {position[:-1]})' if position else text


def _example_text(key: str, setting_type: object) -> str:
    meta = _find_meta(setting_type)
    if meta is None or not meta.examples:
        return f'`{key}` as {_description(meta)}'
    line = f'{key} = {json.dumps(meta.examples[0])}'
    return f'`{line}` ({meta.description})'


def _description(meta: msgspec.Meta | None) -> str:
    return (meta and meta.description) or 'a value of that type'


def _find_meta(setting_type: object) -> msgspec.Meta | None:
    candidates = (setting_type, *get_args(setting_type))
    for candidate in candidates:
        for meta in getattr(candidate, '__metadata__', ()):
            if isinstance(meta, msgspec.Meta):
                return meta
    return None
