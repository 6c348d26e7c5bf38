import pytest

from tests.store.every_byte import CASES, run


@pytest.mark.parametrize(("with_checkpoint", "close", "target"), CASES)
def test_files_truncated_at_any_byte_give_only_confirmed_records(with_checkpoint, close, target):
    """Checks a sample of the offsets; `python -m tests.store.every_byte` checks all."""
    (tried, opened, reported), violations = run(
        with_checkpoint, close, target, share=400 if target == "last two segments" else 30
    )
    assert violations == []
    assert tried > 100 and reported and (opened or target == "last two segments")
