"""Runs the benchmarks: ``python -m benchmarks [NAME ...]``."""

import importlib
import pkgutil
import sys
from time import process_time

import benchmarks


def main(arguments: list[str]) -> int:
    """Runs the named benchmarks, or all of them, one after the other.

    Args:
        arguments: Names of modules of this package.

    Returns:
        The exit code.
    """
    known = _names()
    unknown = [name for name in arguments if name not in known]
    if unknown:
        print(f'unknown: {", ".join(unknown)}; known: {", ".join(known)}')
        return 2
    for name in arguments or known:
        print(f'== {name}', flush=True)
        start = process_time()
        importlib.import_module(f'benchmarks.{name}').run()
        print(f'   {process_time() - start:.0f} s of processor time\n')
    return 0


def _names() -> list[str]:
    return [
        module.name
        for module in pkgutil.iter_modules(benchmarks.__path__)
        if not module.name.startswith('_')
    ]


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
