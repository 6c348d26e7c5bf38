import pytest

from tests.store.every_byte import WAYS, run


@pytest.mark.parametrize(("point", "close", "what"), WAYS)
def test_files_truncated_at_any_byte_give_only_confirmed_records(point, close, what):
    """Checks a sample of the offsets; `python -m tests.store.every_byte` checks all."""
    (tried, opened, reported), wrong = run(
        point, close, what, share=400 if what == "last two segments" else 30
    )
    assert wrong == []
    assert tried > 100 and reported and (opened or what == "last two segments")
