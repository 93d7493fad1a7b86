"""Configuration from files beside a process."""

from pathlib import Path

from result import Err, Result

from anvilthread.configuration.configuration import Configuration
from anvilthread.configuration.loader import load_site
from anvilthread.configuration.texts import BASE_FILE, texts_from_files
from anvilthread.error import AnvilthreadError


class ConfigurationFilesError(AnvilthreadError):
    """The directory with the configuration cannot be read."""


def read_local_configuration(
    directory: Path, site: str
) -> Result[Configuration, AnvilthreadError]:
    """Reads base.toml and the overlay of one site.

    Args:
        directory: Where the files are.
        site: Site whose overlay applies.

    Returns:
        The configuration, or what is wrong with the files.
    """
    try:
        files = {
            path.name: path.read_text(encoding='utf-8')
            for path in sorted(directory.glob('*.toml'))
        }
    except (OSError, UnicodeDecodeError) as error:
        return Err(_unreadable(directory, str(error)))
    if BASE_FILE not in files:
        return Err(_unreadable(directory, f'{BASE_FILE} is missing'))
    return load_site(texts_from_files(files), site).map_err(_as_error)


def _unreadable(directory: Path, reason: str) -> AnvilthreadError:
    return ConfigurationFilesError(
        reason=f'configuration in {directory} cannot be read: {reason}',
        remedy='correct the path or the permissions',
    )


def _as_error(error: AnvilthreadError) -> AnvilthreadError:
    return error
