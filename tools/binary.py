"""Builds the program as a single executable file."""

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
#: Extension modules load only in the Python version they were built for.
_INTERPRETER: Final = '/usr/bin/env python{}.{}'.format(*sys.version_info[:2])


def build(output: Path) -> None:
    """Packs the installed packages and the program.

    Nothing is downloaded: the packages are those of this environment, which
    were installed from the locked requirements.

    Args:
        output: The file to write.
    """
    output.parent.mkdir(parents=True, exist_ok=True)
    with TemporaryDirectory() as directory:
        for package in runtime_distributions(_REQUIREMENTS):
            copy_distribution(package, Path(directory))
        copy_program(Path(directory))
        # --compile-pyc stays off because it would start processes on the VM.
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
                str(output),
            ],
            standalone_mode=False,
        )


if __name__ == '__main__':
    build(Path(sys.argv[1]))
