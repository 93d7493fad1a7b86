"""The file with the keys of a cluster."""

from pathlib import Path

from result import Err, Ok, Result

from anvilthread.file_fault import FileFault
from anvilthread.settings.key_document import KeyDocument
from anvilthread.settings.key_document_reader import KeyDocumentReader
from anvilthread.settings.keys import Keys
from anvilthread.settings.private_file import (
    is_accessible_to_others,
    write_private,
)
from anvilthread.settings.settings_error import SettingsError
from anvilthread.settings.toml_file import read_toml


class KeyFile:
    """Reads and writes a key file.

    Daemons load the file at startup and on SIGHUP.

    Args:
        path: The TOML file.
    """

    __slots__ = ('_path',)

    def __init__(self, *, path: Path) -> None:
        self._path = path

    @property
    def path(self) -> Path:
        """The TOML file."""
        return self._path

    def load(self) -> Result[Keys, SettingsError]:
        """Reads every key.

        Returns:
            The keys, or an error with every fault of the file. After an
            error the caller keeps the keys that it has.
        """
        return self.read().map(KeyDocument.keys)

    def read(self) -> Result[KeyDocument, SettingsError]:
        """Reads the keys in their text format, to change them."""
        table = read_toml(self._path)
        if isinstance(table, Err):
            return table
        if is_accessible_to_others(self._path):
            return self._fail(
                'can be read or changed by other users',
                f'run `chmod o-rwx {self._path}`',
            )
        return KeyDocumentReader(path=self._path).read(table.ok_value)

    def write(
        self, document: KeyDocument, *, overwrite: bool
    ) -> Result[None, SettingsError]:
        """Writes the keys with mode 0600.

        Args:
            document: The keys.
            overwrite: Whether an existing file is replaced.

        Returns:
            Nothing, or an error that names the file.
        """
        content = document.render().encode()
        try:
            write_private(self._path, content, overwrite=overwrite)
        except FileExistsError:
            return self._fail(
                'exists already',
                'choose another path; a new file would break every connection',
            )
        except OSError as error:
            return self._fail(
                f'cannot be written ({error.strerror})',
                'check the directory and its permissions',
            )
        return Ok(None)

    def _fail(self, reason: str, remedy: str) -> Err[SettingsError]:
        fault = FileFault(
            file=str(self._path), key='', reason=reason, remedy=remedy
        )
        return Err(SettingsError(faults=(fault,)))
