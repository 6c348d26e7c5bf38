"""Index: packed locations and snapshots."""

from lichencleat.store.index import Index, expiry_of, length_of, offset_of, pack_location, segment_of


def test_location_keeps_its_four_numbers():
    location = pack_location(7, 1 << 31, 1 << 24, 1 << 62)
    assert (segment_of(location), offset_of(location), length_of(location), expiry_of(location)) == (
        7,
        1 << 31,
        1 << 24,
        1 << 62,
    )


def test_snapshot_outlives_changes_up_to_its_limit():
    index = Index(max_undo_entries=3)
    for n in range(4):
        index.put(b"%d" % n, pack_location(1, n, 10, 0))
    snapshot = index.snapshot(4)
    index.delete(b"0")
    index.put(b"1", pack_location(2, 0, 10, 0))
    index.put(b"1", pack_location(3, 0, 10, 0))
    index.put(b"9", pack_location(3, 0, 10, 0))
    assert snapshot.chunk(b"", b"", 9) == [(b"%d" % n, pack_location(1, n, 10, 0)) for n in range(4)]
    assert snapshot.chunk(b"1\0", b"", 9)[0][0] == b"2"
    index.delete(b"3")
    assert not snapshot.is_open and index.snapshots == {}


def test_snapshot_chunks_skip_many_newer_keys():
    index = Index()
    index.put(b"z", pack_location(1, 0, 1, 0))
    snapshot = index.snapshot(1)
    for n in range(100):
        index.put(b"a%d" % n, pack_location(1, 0, 1, 0))
    assert snapshot.chunk(b"", b"", 2) == [(b"z", pack_location(1, 0, 1, 0))]
