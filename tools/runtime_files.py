"""The files that the program needs at run time."""

import shutil
from collections.abc import Iterator
from importlib.metadata import Distribution, PackagePath, distribution
from pathlib import Path
from typing import Final

from packaging.requirements import Requirement

#: Sources of extension modules, needed only to build them, and byte code.
_BUILD_SUFFIXES: Final = frozenset(('.c', '.h', '.pxd', '.pyc', '.pyx'))
_UNUSED_DIRECTORIES: Final = frozenset(('__pycache__', 'tests'))


def runtime_distributions(requirements: Path) -> Iterator[Distribution]:
    """Yields the installed packages of a requirements file and what they need.

    Args:
        requirements: The file, with one requirement per line.

    Raises:
        PackageNotFoundError: If a package is not installed.
    """
    pending = requirements.read_text(encoding='utf-8').splitlines()
    seen: set[str] = set()
    while pending:
        requirement = Requirement(pending.pop())
        applies = requirement.marker is None or requirement.marker.evaluate(
            {'extra': ''}
        )
        if not applies or requirement.name.lower() in seen:
            continue
        seen.add(requirement.name.lower())
        package = distribution(requirement.name)
        pending.extend(package.requires or ())
        yield package


def copy_distribution(source: Distribution, directory: Path) -> None:
    """Copies the files of an installed package below a directory."""
    for path in source.files or ():
        if _is_needed(path):
            destination = directory / path
            destination.parent.mkdir(parents=True, exist_ok=True)
            shutil.copyfile(path.locate(), destination)


def copy_program(directory: Path) -> None:
    """Copies the package ``anvilthread`` of this checkout."""
    root = Path(__file__).parents[1]
    shutil.copytree(
        root / 'anvilthread',
        directory / 'anvilthread',
        ignore=shutil.ignore_patterns('__pycache__'),
    )


def _is_needed(path: PackagePath) -> bool:
    # Scripts are listed with a path outside site-packages.
    if '..' in path.parts or path.suffix in _BUILD_SUFFIXES:
        return False
    return not _UNUSED_DIRECTORIES.intersection(path.parts)
