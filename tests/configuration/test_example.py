"""The example: real sockets from the command to the listener."""

import pytest

from examples.configuration import main


def test_example_runs(capsys: pytest.CaptureFixture[str]) -> None:
    """Guards against components that work only with their test doubles."""
    main()
    lines = capsys.readouterr().out.splitlines()
    assert sorted(lines) == [
        'applied revision 1',
        'node 1: revision 1, carries depot-feed',
        'node 2: revision 1, carries depot-feed',
        'node 3: revision 1, carries depot-feed',
    ]
