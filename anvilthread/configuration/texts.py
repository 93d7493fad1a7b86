"""The files of the operators' configuration."""

from typing import Final

from msgspec import Struct

#: File name of the base.
BASE_FILE: Final = 'base.toml'

_SUFFIX: Final = '.toml'


class ConfigurationTexts(Struct, frozen=True, kw_only=True, array_like=True):
    """One base and one overlay per site, as operators wrote them.

    Attributes:
        base: Text of ``base.toml``.
        overlays: Text of ``SITE.toml`` by site.
    """

    base: str
    overlays: dict[str, str]

    def files(self) -> dict[str, str]:
        """Returns the texts by file name, the base first."""
        names = {
            f'{site}{_SUFFIX}': text
            for site, text in sorted(self.overlays.items())
        }
        return {BASE_FILE: self.base, **names}


def texts_from_files(files: dict[str, str]) -> ConfigurationTexts:
    """Builds the texts from file contents by file name.

    Raises:
        KeyError: If there is no ``base.toml``.
    """
    overlays = {
        name.removesuffix(_SUFFIX): text
        for name, text in files.items()
        if name != BASE_FILE
    }
    return ConfigurationTexts(base=files[BASE_FILE], overlays=overlays)
