"""Runs the benchmarks: ``python -m benchmarks [NAME ...]``."""

import importlib
import pkgutil
import subprocess
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
    run_by_name = _find_benchmarks()
    unknown = [name for name in arguments if name not in run_by_name]
    if unknown:
        print(f'unknown: {", ".join(unknown)}; known: {", ".join(run_by_name)}')
        return 2
    if len(arguments) == 1:
        run_by_name[arguments[0]]()
        return 0
    failed = [
        name
        for name in arguments or run_by_name
        if not _run_in_subprocess(name)
    ]
    if failed:
        print(f'failed: {", ".join(failed)}')
    return 1 if failed else 0


def _run_in_subprocess(name: str) -> bool:
    """Runs a benchmark in a separate process.

    Memory freed by an earlier benchmark would be reused, and would hide the
    memory that this benchmark needs.
    """
    print(f'== {name}', flush=True)
    start = perf_counter()
    command = (sys.executable, '-m', 'benchmarks', name)
    succeeded = subprocess.run(command, check=False).returncode == 0
    print(f'   {perf_counter() - start:.0f} s\n', flush=True)
    return succeeded


def _find_benchmarks() -> dict[str, Callable[[], None]]:
    """Returns the benchmarks by name; modules without ``run`` are helpers."""
    modules = {
        info.name: importlib.import_module(f'benchmarks.{info.name}')
        for info in pkgutil.iter_modules(benchmarks.__path__)
        if not info.name.startswith('_')
    }
    return {
        name: module.run
        for name, module in modules.items()
        if hasattr(module, 'run')
    }


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
