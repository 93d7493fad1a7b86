"""Entry point of the ``anvilthread`` command."""

import sys

from gevent import monkey


def main() -> None:
    """Patches the standard library and runs the command line.

    The patch comes before every other import, because modules imported
    earlier would keep references to the blocking functions.
    """
    monkey.patch_all()
    from anvilthread.commands.app import run  # noqa: PLC0415

    sys.exit(run())


if __name__ == '__main__':
    main()
