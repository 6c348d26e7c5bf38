import pytest

from lichencleat.node import lines, resp
from lichencleat.node.framing import BrokenFramingError

ARRAY = b"".join(resp.array(b"REQ", b"7", b"", b"a\r\nb"))
LINES = b"TRACE 1 all well 5\r\nVALUE 2 a1 PASS 3 4\r\n\r\n\r\n\r\nTOPS g1 1 2 3 4\r\n"


@pytest.fixture
def arrays():
    return resp.ArrayReader()


@pytest.fixture
def reader():
    return lines.LineReader(lambda words: words[0] == b"VALUE")


@pytest.mark.parametrize("step", [1, 2, 3, 7, 1000])
def test_arrays_may_be_split_anywhere(arrays, step):
    data = ARRAY * 3
    got = [words for at in range(0, len(data), step) for words in arrays.feed(data[at : at + step])]
    assert got == [[b"REQ", b"7", b"", b"a\r\nb"]] * 3 and not arrays.buffer


@pytest.mark.parametrize(
    "invalid",
    [
        b"*0\r\n",
        b"*9\r\n",
        b"$3\r\nREQ\r\n",
        b"*1\r\n$-1\r\n",
        b"*1\r\n$4097\r\n",
        b"*1\r\n$1\r\nabc",
        b"*" + b"1" * 20,
        b"".join(resp.array(*[b"x" * 4_000] * 3)),
    ],
)
def test_invalid_array_is_broken_framing(arrays, invalid):
    with pytest.raises(BrokenFramingError):
        list(arrays.feed(invalid))


def test_buffer_is_trimmed_though_an_array_is_always_incomplete(arrays):
    big = b"".join(resp.array(*[b"x" * 4_000] * 2))
    list(arrays.feed(big[:5]))
    for _ in range(10):
        assert len(list(arrays.feed(big[5:] + big[:5]))) == 1
    assert len(arrays.buffer) < 3 * len(big)


@pytest.mark.parametrize("step", [1, 2, 5, 1000])
def test_lines_and_their_bodies_may_be_split_anywhere(reader, step):
    data = LINES * 2
    got = [message for at in range(0, len(data), step) for message in reader.feed(data[at : at + step])]
    assert [words[0] for words, _ in got] == [b"TRACE", b"VALUE", b"TOPS"] * 2
    assert [body for _, body in got] == [b"", b"\r\n\r\n", b""] * 2


@pytest.mark.parametrize("invalid", [b"x" * 2000, b"VALUE 1 x\r\n", b"VALUE 9999999\r\n", b"VALUE 1\r\nabc"])
def test_invalid_line_is_broken_framing(reader, invalid):
    with pytest.raises(BrokenFramingError):
        list(reader.feed(invalid))


def test_body_is_written_with_its_length():
    assert b"".join(lines.line_with_body(b"RESOLVE", b"a1", body=b"\r\n")) == b"RESOLVE a1 2\r\n\r\n\r\n"
