"""Framing: reads back every frame, and reads no other bytes as a frame."""

import random

import pytest
from crc32c import crc32c

from lichencleat.store import framing

SALT = crc32c(b"salt")


def log(*bodies, start=0):
    data = b""
    for body in bodies:
        data += framing.encode_frame(SALT, start + len(data), framing.encode_body(body))
    return data


def reader(data):
    return lambda offset, length: data[offset : offset + length]


BODIES = [(n, framing.PUT, 1, 0, b"k%d" % n, b"v" * n) for n in range(1, 30)]


@pytest.mark.parametrize("window", [12, 40, 1 << 20])
def test_iter_frames_reads_frames_with_any_read_window(window, monkeypatch):
    monkeypatch.setattr(framing, "READ_WINDOW_BYTES", window)
    data = log(*BODIES)
    found = [
        framing.decode_body(body) for _, _, body in framing.iter_frames(reader(data), 0, len(data), SALT)
    ]
    assert [(*each[:5], bytes(each[5])) for each in found] == BODIES


def test_iter_frames_detects_every_flipped_bit():
    data = log(BODIES[4])
    for bit in range(8 * len(data)):
        bad = bytearray(data)
        bad[bit // 8] ^= 1 << bit % 8
        assert list(framing.iter_frames(reader(bytes(bad)), 0, len(bad), SALT)) == []


def test_decode_frame_rejects_another_offset_or_file():
    data = log(BODIES[0])
    assert framing.decode_frame(data, SALT, 0) is not None
    assert framing.decode_frame(data, SALT, 1) is None
    assert framing.decode_frame(data, SALT + 1, 0) is None


@pytest.mark.parametrize("window", [64, 1 << 20])
def test_iter_frames_past_gaps_finds_frames_behind_other_bytes(window, monkeypatch):
    monkeypatch.setattr(framing, "READ_WINDOW_BYTES", window)
    first, noise = log(BODIES[0]), b"\xa7\xc5" * 50 + random.Random(1).randbytes(300) + b"\xa7"
    inner = log(BODIES[1])  # a frame copied into a value is not a frame at that offset
    start = len(first) + len(noise) + len(inner)
    data = first + noise + inner + log(*BODIES[2:5], start=start)
    found = [offset for offset, _, _ in framing.iter_frames_past_gaps(reader(data), 1, len(data), SALT)]
    assert found[0] == start and len(found) == 3
