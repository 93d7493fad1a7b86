"""Reading of one TOML file."""

import tomllib
from pathlib import Path
from typing import Any, Final

from result import Err, Ok, Result

from anvilthread.file_fault import FileFault
from anvilthread.settings.settings_error import SettingsError

#: Larger than any settings file; limits the read when the path is wrong.
_MAX_BYTES: Final = 1_048_576


def read_toml(path: Path) -> Result[dict[str, Any], SettingsError]:
    """Reads and parses a TOML file.

    Args:
        path: The file.

    Returns:
        The top-level table, or an error that names the file.
    """
    try:
        with path.open('rb') as stream:
            content = stream.read(_MAX_BYTES + 1)
    except OSError as error:
        return _fail(
            path,
            f'cannot be read ({error.strerror})',
            'check the path and its permissions',
        )
    return parse_toml(path, content)


def parse_toml(
    path: Path, content: bytes
) -> Result[dict[str, Any], SettingsError]:
    """Parses the content of a TOML file; ``path`` is for errors only."""
    if len(content) > _MAX_BYTES:
        return _fail(path, 'is larger than 1 MiB', 'check the path')
    try:
        return Ok(tomllib.loads(content.decode()))
    except UnicodeDecodeError:
        return _fail(path, 'is not UTF-8', 'save the file as UTF-8')
    except tomllib.TOMLDecodeError as error:
        return _fail(path, f'is not TOML: {error}', 'correct the syntax')
    except RecursionError:
        return _fail(path, 'is nested too deeply', 'correct the syntax')


def _fail(
    path: Path, reason: str, remedy: str
) -> Result[dict[str, Any], SettingsError]:
    fault = FileFault(file=str(path), key='', reason=reason, remedy=remedy)
    return Err(SettingsError(faults=(fault,)))
