"""Differences between two configurations by key."""

import tomllib
from typing import Any

import msgspec
from msgspec import Struct

from anvilthread.configuration.texts import ConfigurationTexts


class KeyChange(Struct, frozen=True, kw_only=True):
    """One key whose value differs.

    Attributes:
        file: Name of the file.
        key: Dotted key.
        before: Earlier value as JSON; None if the key is new.
        after: Later value as JSON; None if the key is removed.
    """

    file: str
    key: str
    before: msgspec.Raw | None
    after: msgspec.Raw | None

    def __str__(self) -> str:
        place = f'{self.file}: {self.key}'
        before, after = _text(self.before), _text(self.after)
        if self.before is None:
            return f'{place} is added: {after}'
        if self.after is None:
            return f'{place} is removed; it was {before}'
        return f'{place} changes from {before} to {after}'


def list_changes(
    old: ConfigurationTexts, new: ConfigurationTexts
) -> tuple[KeyChange, ...]:
    """Returns the keys whose values differ, by file and key.

    Comments and the order of keys do not count.

    Args:
        old: The earlier files.
        new: The later files.
    """
    before, after = _values(old), _values(new)
    return tuple(
        KeyChange(
            file=file,
            key=key,
            before=before.get((file, key)),
            after=after.get((file, key)),
        )
        for file, key in sorted({*before, *after})
        if _text(before.get((file, key))) != _text(after.get((file, key)))
    )


def _values(texts: ConfigurationTexts) -> dict[tuple[str, str], msgspec.Raw]:
    return {
        (file, key): value
        for file, text in texts.files().items()
        for key, value in _flatten(_parse(text), '').items()
    }


def _parse(text: str) -> dict[str, Any]:
    try:
        return tomllib.loads(text)
    except tomllib.TOMLDecodeError:
        return {}


def _flatten(table: dict[str, Any], prefix: str) -> dict[str, msgspec.Raw]:
    values: dict[str, msgspec.Raw] = {}
    for name, value in table.items():
        key = f'{prefix}{name}'
        if isinstance(value, dict) and value:
            values.update(_flatten(value, f'{key}.'))
        else:
            values[key] = msgspec.Raw(msgspec.json.encode(value))
    return values


def _text(value: msgspec.Raw | None) -> str:
    return '' if value is None else bytes(value).decode()
