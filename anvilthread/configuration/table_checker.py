"""Compares parsed TOML with the schema and collects every error."""

from difflib import get_close_matches
from typing import Annotated, Any, Final, get_args, get_origin

import msgspec
from msgspec import Meta, Struct

from anvilthread.address import Address
from anvilthread.file_fault import FileFault

_DEFAULT_REMEDY: Final = 'write a text in quotes'


class TableChecker:
    """Collects the errors of one file.

    Args:
        file: Name of the file.
        partial: Whether required keys may be missing, as in an overlay.
    """

    __slots__ = ('_file', '_partial', '_problems')

    def __init__(self, *, file: str, partial: bool) -> None:
        self._file = file
        self._partial = partial
        self._problems: list[FileFault] = []

    @property
    def problems(self) -> tuple[FileFault, ...]:
        """The errors found so far."""
        return tuple(self._problems)

    def check(self, table: Any, schema: type[Struct], path: str = '') -> None:
        """Checks a table and everything below it."""
        if not isinstance(table, dict):
            table_name = path.rstrip('.')
            self._add(path, 'the value is not a table', f'write [{table_name}]')
            return
        fields = {
            field.encode_name: field for field in msgspec.structs.fields(schema)
        }
        for key in table:
            if key not in fields:
                self._add_unknown(f'{path}{key}', key, list(fields))
        for name, field in fields.items():
            if name in table:
                self._check_value(table[name], field.type, f'{path}{name}')
            elif field.required and not self._partial:
                self._add_missing(f'{path}{name}', field.type)

    def _check_value(self, value: Any, kind: Any, path: str) -> None:
        keys, schema = _nested(kind)
        if schema is None:
            self._check_leaf(value, kind, path)
        elif keys is None or not isinstance(value, dict):
            self.check(value, schema, f'{path}.')
        else:
            for name, table in value.items():
                self._check_leaf(name, keys, f'{path}.{name}')
                self.check(table, schema, f'{path}.{name}.')

    def _check_leaf(self, value: Any, kind: Any, path: str) -> None:
        try:
            msgspec.convert(value, kind, dec_hook=decode_address)
        except msgspec.ValidationError as error:
            problem = FileFault.from_validation(
                error, file=self._file, key=path, remedy=_remedy(kind)
            )
            self._problems.append(problem)

    def _add_missing(self, path: str, kind: Any) -> None:
        _, schema = _nested(kind)
        remedy = f'add [{path}.NAME]' if schema else _remedy(kind)
        self._add(path, 'the key is missing', remedy)

    def _add_unknown(self, path: str, key: str, known: list[str]) -> None:
        similar = get_close_matches(key, known, n=1)
        if similar:
            remedy = f'write {similar[0]} instead'
        else:
            remedy = f'remove it; known keys are {", ".join(known)}'
        self._add(path, 'the key is unknown', remedy)

    def _add(self, path: str, reason: str, remedy: str) -> None:
        key = path.rstrip('.')
        self._problems.append(
            FileFault(file=self._file, key=key, reason=reason, remedy=remedy)
        )


def decode_address(kind: type, value: Any) -> Address:
    """Decodes the types that msgspec does not support.

    Raises:
        ValueError: If the value is not an address.
    """
    if not isinstance(value, str):
        raise ValueError(f'{value!r} is not a text')
    parsed = Address.parse(value)
    if parsed.is_err():
        raise ValueError(parsed.unwrap_err().reason)
    return parsed.unwrap()


def _nested(kind: Any) -> tuple[Any, type[Struct] | None]:
    """Returns the key type, if there is one, and the schema of a table."""
    if isinstance(kind, type) and issubclass(kind, Struct):
        return None, kind
    if get_origin(kind) is dict:
        keys, schema = get_args(kind)
        return keys, schema
    return None, None


def _remedy(kind: Any) -> str:
    if get_origin(kind) is tuple:
        return _remedy(get_args(kind)[0])
    if get_origin(kind) is not Annotated:
        return _DEFAULT_REMEDY
    metas = (meta for meta in get_args(kind) if isinstance(meta, Meta))
    described = (meta.description for meta in metas)
    return next(filter(None, described), _DEFAULT_REMEDY)
