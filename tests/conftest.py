"""Time limit and known failures of all tests."""

import faulthandler
from collections.abc import Iterator
from pathlib import Path
from typing import Final

import pytest

#: A blocked test would hang the whole run. After this time, the run ends and
#: prints the stacks of all threads.
_TEST_TIMEOUT_S: Final = 120


_KNOWN_RED: Final = Path(__file__).parent.parent / 'KNOWN-RED.txt'


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Marks the tests listed in KNOWN-RED.txt as expected to fail.

    They still run. Each line holds the ID of the test, the command, the
    observed failure and the issue, separated by ' | '.
    """
    entries = _KNOWN_RED.read_text().splitlines()
    reasons = dict(entry.split(' | ', 1) for entry in entries if entry)
    for item in items:
        if item.nodeid in reasons:
            mark = pytest.mark.xfail(reason=reasons[item.nodeid], strict=False)
            item.add_marker(mark)


@pytest.fixture(autouse=True)
def _abort_on_timeout() -> Iterator[None]:
    """Ends the run if a test exceeds the time limit."""
    faulthandler.dump_traceback_later(_TEST_TIMEOUT_S, exit=True)
    yield
    faulthandler.cancel_dump_traceback_later()
