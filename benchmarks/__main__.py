"""Runs the benchmarks: ``python -m benchmarks [NAME ...]``."""

import importlib
import pkgutil
import sys
from collections.abc import Callable
from time import perf_counter

import benchmarks


def main(arguments: list[str]) -> int:
    """Runs the named benchmarks, or all of them, one after the other.

    Args:
        arguments: Names of modules of this package.

    Returns:
        The exit code.
    """
    runs = _runs()
    unknown = [name for name in arguments if name not in runs]
    if unknown:
        print(f'unknown: {", ".join(unknown)}; known: {", ".join(runs)}')
        return 2
    for name in arguments or runs:
        print(f'== {name}', flush=True)
        start = perf_counter()
        runs[name]()
        print(f'   {perf_counter() - start:.0f} s\n', flush=True)
    return 0


def _runs() -> dict[str, Callable[[], None]]:
    """Returns the benchmarks by name; modules without ``run`` are helpers."""
    modules = {
        found.name: importlib.import_module(f'benchmarks.{found.name}')
        for found in pkgutil.iter_modules(benchmarks.__path__)
        if not found.name.startswith('_')
    }
    return {
        name: module.run
        for name, module in modules.items()
        if hasattr(module, 'run')
    }


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
