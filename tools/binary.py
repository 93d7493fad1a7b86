"""Builds the program as one file."""

import sys
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Final

from shiv.cli import main as shiv

from tools.runtime_files import (
    copy_distribution,
    copy_program,
    runtime_distributions,
)

_REQUIREMENTS: Final = Path('requirements.in')
#: Extension modules only load in the version that they were built for.
_INTERPRETER: Final = '/usr/bin/env python{}.{}'.format(*sys.version_info[:2])


def build(target: Path) -> None:
    """Packs the installed packages and the program.

    Nothing is downloaded: the packages are those of this environment, which
    were installed from the locked requirements.

    Args:
        target: The file to write.
    """
    target.parent.mkdir(parents=True, exist_ok=True)
    with TemporaryDirectory() as directory:
        for package in runtime_distributions(_REQUIREMENTS):
            copy_distribution(package, Path(directory))
        copy_program(Path(directory))
        # --compile-pyc stays off: it would start processes on the VM.
        shiv(
            [
                '--site-packages',
                directory,
                '--entry-point',
                'anvilthread.__main__:main',
                '--python',
                _INTERPRETER,
                '--reproducible',
                '--output-file',
                str(target),
            ],
            standalone_mode=False,
        )


if __name__ == '__main__':
    build(Path(sys.argv[1]))
