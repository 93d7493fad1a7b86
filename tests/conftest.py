"""Limits that apply to every test."""

import faulthandler
from collections.abc import Iterator
from pathlib import Path
from typing import Final

import pytest

#: A test that blocks for this long would hang the whole run; it ends the
#: run with the stacks of all threads instead.
_TEST_LIMIT_S: Final = 120


_KNOWN_RED: Final = Path(__file__).parent.parent / 'KNOWN-RED.txt'


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Runs the tests of KNOWN-RED.txt, and expects them to fail.

    A line is the test's ID, the command, what was seen and the issue,
    separated by ' | '.
    """
    entries = _KNOWN_RED.read_text().splitlines()
    reasons = dict(entry.split(' | ', 1) for entry in entries if entry)
    for test in items:
        if test.nodeid in reasons:
            mark = pytest.mark.xfail(reason=reasons[test.nodeid], strict=False)
            test.add_marker(mark)


@pytest.fixture(autouse=True)
def _limit() -> Iterator[None]:
    """Guards against a run that never ends."""
    faulthandler.dump_traceback_later(_TEST_LIMIT_S, exit=True)
    yield
    faulthandler.cancel_dump_traceback_later()
