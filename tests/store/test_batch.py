"""Batch: limits on keys, values and batches."""

import pytest

from lichencleat.store.batch import MAX_BATCH_BYTES, Batch
from lichencleat.store.errors import (
    BadRecordError,
)


def test_batch_rejects_keys_values_and_sizes_outside_the_limits():
    for make in (
        lambda: Batch().put(b"", b""),
        lambda: Batch().put(b"k" * 65_537, b""),
        lambda: Batch().put(b"k", bytes((16 << 20) + 1)),
        lambda: Batch().put(b"k", b"", -1),
        lambda: Batch().delete(b""),
    ):
        with pytest.raises(BadRecordError):
            make()
    batch = Batch().put(b"k", bytes(16 << 20)).put(b"l", bytes(15 << 20))
    with pytest.raises(BadRecordError):
        batch.put(b"m", bytes(MAX_BATCH_BYTES - (31 << 20)))
