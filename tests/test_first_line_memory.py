"""The memory of a first line, which is kept for as long as its connection stands."""

import tracemalloc

import pytest

from glenfold import lines
from glenfold.config.platform import CONNECTION_MB

START = b"OPEN 9b1f03aa 7f3a9c21e0b4d655 c=watch,t=valleys,d=2000"
LINES = 20


def first_line(fields: list[bytes]) -> bytes:
    """Returns a first line of at most 4 KiB with as many of these fields as it has room for."""
    line = START
    for field in fields:
        if len(line) + len(field) + 1 > lines.MAX_LINE_BYTES - len(lines.LINE_END):
            break
        line += b"," + field
    return line + lines.LINE_END


# Guards against heads of very many short fields, which as objects take many times their bytes (incident 21).
@pytest.mark.parametrize("value", [b"", b"1", b"#" * 40])
def test_a_first_line_of_many_fields_takes_no_more_memory_than_a_connection_may(value: bytes) -> None:
    line = first_line([b"%x=%b" % (number, value) for number in range(0x300, 0x300 + 1500)])
    assert len(line) > 4000
    tracemalloc.start()
    try:
        kept = [lines.parse_open(bytearray(line), len(line)) for _ in range(LINES)]
        kept_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert len(kept) == LINES and kept_bytes / LINES <= CONNECTION_MB * 1e6


def test_a_first_line_of_many_fields_is_forwarded_whole_and_its_own_parameters_are_read() -> None:
    line = first_line([b"zz%d=%d" % (number, number) for number in range(100)] + [b"g=5c0f", b"mid=1"])
    first = lines.parse_open(bytearray(line), len(line))
    assert b"".join(first.with_wait(7)) == line.replace(b"d=2000", b"d=7")
    assert (first.text(b"c"), first.number(b"g", 16), first.flag(b"mid")) == ("watch", 0x5C0F, True)
    assert set(first.parameters) <= lines.USED_PARAMETERS


@pytest.mark.parametrize(
    "parameters",
    [b"c=watch,d=1,zz=1,zz=2", b"c=watch,,d=1", b"c=watch,d=1,=2", b"c=watch,d=1,zz", b",", b"c=w,d=1,,"],
)
def test_a_field_without_name_or_value_or_given_twice_is_refused(parameters: bytes) -> None:
    line = b"OPEN 1 2 " + parameters + lines.LINE_END
    with pytest.raises(lines.Malformed):
        lines.parse_open(bytearray(line), len(line))


def test_a_comma_at_the_end_of_a_first_line_is_allowed() -> None:
    line = b"OPEN 1 2 c=watch,d=15,\r\n"
    assert b"".join(lines.parse_open(bytearray(line), len(line)).with_wait(7)) == b"OPEN 1 2 c=watch,d=7,\r\n"
