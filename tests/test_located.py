"""The line of each key, in documents of all shapes; and the one line that a faulty file gets."""

import tomllib
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from glenfold import located
from glenfold.located import BadFile, Key

QUOTED = ['"a.b"', "'x # y'", '"say \\"no\\""', '"[t]"']
TEXTS = ['"# no comment = [1]"', "'''\n[not.a.table]\nkey = 1 '' \n'''", '"""a\n\\\n  "" b = 2\\""""""',
         "'C:\\'", '""']
PLAIN = ["1", "-2.5e3", "true", "2020-01-01T00:00:00.5Z", "0x1F"]
GAPS = ["", " ", "\t", " # a remark = [1]\n", "\n", "\n\n  "]


class Writer:
    """Writes a document of drawn parts, and notes the line of each key as it does."""

    def __init__(self, draw: Any) -> None:
        self.draw, self.text, self.lines, self.names = draw, "", {}, 0

    def note(self, key: Key) -> None:
        self.lines.setdefault(key, 1 + self.text.count("\n"))

    def one_of(self, *values: Any) -> Any:
        return self.draw(st.sampled_from(values))

    def gap(self, *, lines: bool = True) -> None:
        self.text += self.one_of(*(GAPS if lines else GAPS[:3]))

    def name(self) -> tuple[str, str]:
        """As it is and as it is written; never the same twice."""
        self.names += 1
        if self.draw(st.booleans()):
            return f"k-{self.names}", f"k-{self.names}"
        written = self.one_of(*QUOTED)
        written = f"{written[0]}{self.names}{written[1:]}"
        return tomllib.loads(f"x = {written}")["x"], written

    def entry(self, at: Key) -> None:
        parts = [self.name() for _ in range(self.draw(st.integers(1, 3)))]
        for number, (name, written) in enumerate(parts):
            at = (*at, name)
            self.note(at)
            self.text += "." * (number > 0) + written
        self.text += self.one_of(" = ", "=", "\t= ")
        self.value(at, self.draw(st.integers(0, 2)))

    def value(self, at: Key, depth: int) -> None:
        kind = self.one_of("plain", "text", "array", "table") if depth else self.one_of("plain", "text")
        if kind == "plain":
            self.text += self.one_of(*PLAIN)
        elif kind == "text":
            self.text += self.one_of(*TEXTS)
        elif kind == "array":
            self.array(at, depth)
        else:
            self.inline(at)

    def array(self, at: Key, depth: int) -> None:
        self.text += "["
        for number in range(self.draw(st.integers(0, 3))):
            self.text += "," * (number > 0)
            self.gap()
            self.note((*at, number))
            self.value((*at, number), depth - 1)
            self.gap()
        self.text += "]"

    def inline(self, at: Key) -> None:
        self.text += "{"
        for number in range(self.draw(st.integers(0, 2))):
            self.text += ", " * (number > 0)
            self.entry(at)
            self.gap(lines=False)
        self.text += "}"

    def entries(self, at: Key) -> None:
        for _ in range(self.draw(st.integers(0, 3))):
            self.gap()
            self.entry(at)
            self.text += self.one_of("\n", " # a remark\n", "\r\n\r\n")


@st.composite
def documents(draw: Any) -> Writer:
    """Tables and arrays of tables, that others interrupt, and tables within the last element of those."""
    writer = Writer(draw)
    writer.entries(())
    counts = {"one": -1, "two": -1}
    for _ in range(draw(st.integers(0, 6))):
        writer.text += draw(st.sampled_from(["", "\n", "# [[one]]\n"]))
        kind = draw(st.sampled_from(["table", "deep", "one", "two", *["within"] * (counts["one"] >= 0)]))
        if kind in counts:
            counts[kind] += 1
            at, header = (kind, counts[kind]), f"[[{kind}]]"
        else:
            name, written = writer.name()
            at, header = {"table": ((name,), f"[ {written} ]"),
                          "deep": (("deep", name), f"[deep . {written}]"),
                          "within": (("one", counts["one"], name), f"[one.{written}]")}[kind]
        for size in range(1, len(at) + 1):
            writer.note(at[:size])
        writer.text += header + "\n"
        writer.entries(at)
    return writer


@given(documents())
def test_the_line_found_for_each_key_is_where_it_stands(writer: Writer) -> None:
    file = located.parse(writer.text, "made.toml")
    assert file.lines == writer.lines
    for key, _ in located.leaves(file.data):
        assert key in file.lines


@pytest.mark.parametrize("text, line, reason", [
    ("a = 1\nb = \n", 2, "not TOML: Invalid value"),
    ("a = 1\n\na = 2\nb = 3\n", 3, "not TOML: Cannot overwrite a value"),
    ("[a]\n[b]\n[a]\n", 3, "not TOML: Cannot declare ('a',) twice"),
    ("a = [1,\n2\n", 2, "not TOML: Unclosed array"),
    ("a = 1\nb = [2.0,\n nan]\n", 3, "b[1]: nan is not a finite number"),
    ("[a.b]\nc.'d e' = -inf\n", 2, 'a.b.c."d e": -inf is not a finite number'),
    ("a = " + "1" * 5000, 1, "not TOML: Exceeds the limit (4300 digits)"),
    ("a = " + "[" * 50_000, None, "nested too deep"),
])
def test_what_is_not_toml_is_refused_with_its_line(text: str, line: int | None, reason: str) -> None:
    with pytest.raises(BadFile) as caught:
        located.parse(text, "bad.toml")
    assert caught.value.message.startswith(f"bad.toml:{line}: {reason}" if line else f"bad.toml: {reason}")
    assert "\n" not in caught.value.message
    assert caught.value.exit_code == 2


def test_a_file_that_cannot_be_read_or_is_not_utf8(tmp_path: Any) -> None:
    with pytest.raises(BadFile, match=r"none\.toml: can't be read: No such file"):
        located.read(tmp_path / "none.toml")
    (tmp_path / "latin.toml").write_bytes(b'a = 1\nb = "caf\xe9"\n')
    with pytest.raises(BadFile, match=r"latin\.toml:2: byte 14 is not UTF-8"):
        located.read(tmp_path / "latin.toml")
