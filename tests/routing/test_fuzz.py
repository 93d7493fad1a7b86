"""A short fuzz run of the decoders."""

import pytest

from benchmarks import fuzz


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_decoders_survive_a_short_fuzz_run(
    seed: int, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against a decoder that raises on malformed input.

    Also guards against a broken fuzz script.
    """
    fuzz.run(count=500, seed=seed)
    assert capsys.readouterr().out
