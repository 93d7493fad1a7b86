"""Files that only their owner may read."""

import os
import stat
from contextlib import ExitStack
from pathlib import Path
from typing import Final

_PRIVATE_MODE: Final = 0o600


def is_accessible_to_others(path: Path) -> bool:
    """Returns whether users outside the file's group have any access."""
    return bool(path.stat().st_mode & stat.S_IRWXO)


def write_private(path: Path, content: bytes, *, overwrite: bool) -> None:
    """Writes a file atomically with mode 0600.

    The content is first written to a temporary file in the same directory, so
    that a reader sees either the old or the new content, never a part.

    Args:
        path: The file.
        content: Its content.
        overwrite: Whether an existing file is replaced.

    Raises:
        FileExistsError: If the file exists and must not be replaced.
        OSError: If the file cannot be written.
    """
    temporary = path.with_name(f'.{path.name}.{os.getpid()}')
    with ExitStack() as cleanup:
        _write_new(temporary, content)
        cleanup.callback(temporary.unlink, missing_ok=True)
        _publish(temporary, path, overwrite=overwrite)


def _write_new(path: Path, content: bytes) -> None:
    flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL
    with open(os.open(path, flags, _PRIVATE_MODE), 'wb') as stream:
        stream.write(content)
        stream.flush()
        os.fsync(stream.fileno())


def _publish(temporary: Path, path: Path, *, overwrite: bool) -> None:
    if overwrite:
        temporary.replace(path)
        return
    # A hard link fails if the name exists; a rename would replace the file.
    path.hardlink_to(temporary)
