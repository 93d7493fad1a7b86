"""Configuration from local files."""

from pathlib import Path

from result import Err, Ok, Result

from anvilthread.configuration import (
    Configuration,
    ConfigurationTexts,
    load_site,
    texts_from_files,
)
from anvilthread.configuration.texts import BASE_FILE
from anvilthread.error import AnvilthreadError


class ConfigurationFilesError(AnvilthreadError):
    """The directory with the configuration cannot be read."""


def read_texts(
    directory: Path,
) -> Result[ConfigurationTexts, AnvilthreadError]:
    """Reads base.toml and the overlays of a directory.

    Overlays are in the same directory or in its folder ``overlays``.

    Args:
        directory: Directory with the files.

    Returns:
        The texts, or the reason why they cannot be read.
    """
    paths = [*directory.glob('*.toml'), *directory.glob('overlays/*.toml')]
    try:
        files = {
            path.name: path.read_text(encoding='utf-8')
            for path in sorted(paths)
        }
    except (OSError, UnicodeDecodeError) as error:
        return Err(_unreadable(directory, str(error)))
    if BASE_FILE not in files:
        return Err(_unreadable(directory, f'{BASE_FILE} is missing'))
    return Ok(texts_from_files(files))


def read_local_configuration(
    directory: Path, site: str
) -> Result[Configuration, AnvilthreadError]:
    """Reads the configuration of one site from files.

    Args:
        directory: Directory with base.toml and the overlays.
        site: Site whose overlay applies.

    Returns:
        The configuration, or the fault of the files.
    """
    texts = read_texts(directory)
    if isinstance(texts, Err):
        return texts
    loaded = load_site(texts.ok_value, site)
    if isinstance(loaded, Err):
        return Err(loaded.err_value)
    return Ok(loaded.ok_value)


def _unreadable(directory: Path, reason: str) -> AnvilthreadError:
    return ConfigurationFilesError(
        reason=f'configuration in {directory} cannot be read: {reason}',
        remedy='correct the path or the permissions',
    )
