"""The line found for each key in documents of all shapes, and the one-line errors for invalid files."""

from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from glenfold import toml_file
from glenfold.toml_file import BadFile, Key

# Texts of entries, with the line of each key counted from the start of the entry. N is replaced by a
# different name in every entry.
ENTRIES: list[tuple[str, dict[Key, int]]] = [
    ("N = 1\n", {("N",): 0}),
    ("\n\n  N\t= 2020-01-01T00:00:00.5Z # a remark = [1]\r\n\r\n", {("N",): 2}),
    ("# [[one]]\n'x # N' = \"# no comment = [1]\"\n", {("x # N",): 1}),
    ('"say \\"N\\"".b.c = 0x1F\n', {('say "N"',): 0, ('say "N"', "b"): 0, ('say "N"', "b", "c"): 0}),
    ("N = '''\n[not.a.table]\nkey = 1 '' \n'''\n", {("N",): 0}),
    ('"[N]" = """a\n\\\n  "" b = 2\\""""""\n', {("[N]",): 0}),
    (
        "N = [\n 'C:\\', # [\n\n [\"\"], [] \n]\n",
        {("N",): 0, ("N", 0): 1, ("N", 1): 3, ("N", 1, 0): 3, ("N", 2): 3},
    ),
    ("N = {}\n", {("N",): 0}),
    (
        "N = [ { a.b = [ \n-2.5e3], 'a.b' = true }\n, '']\n",
        {
            ("N",): 0,
            ("N", 0): 0,
            ("N", 0, "a"): 0,
            ("N", 0, "a", "b"): 0,
            ("N", 0, "a", "b", 0): 1,
            ("N", 0, "a.b"): 1,
            ("N", 1): 2,
        },
    ),
]
TABLES = [
    ("[ 'a.b N' ]", ("a.b N",)),
    ("[deep . N]", ("deep", "N")),
    ('[one."[t] N"]', ("one", "[t] N")),
    ("[[one]]", ("one",)),
    ("[[two]]", ("two",)),
]
Parts = list[tuple[tuple[str, Key], list[tuple[str, dict[Key, int]]]]]
PARTS = st.lists(st.tuples(st.sampled_from(TABLES), st.lists(st.sampled_from(ENTRIES), max_size=4)))


def numbered(key: Key, number: int) -> Key:
    return tuple(part.replace("N", f"k-{number}") if isinstance(part, str) else part for part in key)


@given(PARTS)
def test_each_key_has_the_line_on_which_it_is_written(parts: Parts) -> None:
    """Covers interrupted tables and arrays of tables, and tables within the last element of an array."""
    text, lines, counts, number = "", dict[Key, int](), {"one": -1, "two": -1}, 0

    def expect_line(key: Key, offset: int = 0) -> None:
        lines.setdefault(key, 1 + text.count("\n") + offset)

    for (header, at), entries in [(("# first", ()), ENTRIES), *parts]:
        if at[:1] == ("one",) and counts["one"] < 0:
            header, at = "[[one]]", ("one",)
        if len(at) == 1 and at[0] in counts:
            counts[at[0]] += 1
        at = numbered(at, number)
        if at and at[0] in counts:
            at = (at[0], counts[at[0]], *at[1:])
        for size in range(1, len(at) + 1):
            expect_line(at[:size])
        text += header.replace("N", f"k-{number}") + "\n"
        for entry, keys in entries:
            number += 1
            for key, offset in keys.items():
                expect_line((*at, *numbered(key, number)), offset)
            text += entry.replace("N", f"k-{number}")
        number += 1
    file = toml_file.parse(text, "made.toml")
    assert file.lines == lines
    assert {key for key, _ in toml_file.leaves(file.data)} <= lines.keys()


@pytest.mark.parametrize(
    "text, line, reason",
    [
        ("a = 1\nb = \n", 2, "not TOML: Invalid value"),
        ("a = 1\n\na = 2\nb = 3\n", 3, "not TOML: Cannot overwrite a value"),
        ("[a]\n[b]\n[a]\n", 3, "not TOML: Cannot declare ('a',) twice"),
        ("a = [1,\n2\n", 2, "not TOML: Unclosed array"),
        ("a = 1\nb = [2.0,\n nan]\n", 3, "b[1]: nan is not a finite number"),
        ("[a.b]\nc.'d e' = -inf\n", 2, 'a.b.c."d e": -inf is not a finite number'),
        ("a = " + "1" * 5000, 1, "not TOML: Exceeds the limit (4300 digits)"),
        ("a = " + "[" * 50_000, None, "nested too deep"),
    ],
)
def test_invalid_toml_is_refused_with_its_line(text: str, line: int | None, reason: str) -> None:
    with pytest.raises(BadFile) as caught:
        toml_file.parse(text, "bad.toml")
    assert caught.value.message.startswith(f"bad.toml:{line}: {reason}" if line else f"bad.toml: {reason}")
    assert "\n" not in caught.value.message
    assert caught.value.exit_code == 2


def test_a_file_that_cannot_be_read_or_is_not_utf8_is_refused(tmp_path: Any) -> None:
    with pytest.raises(BadFile, match=r"none\.toml: can't be read: No such file"):
        toml_file.read(tmp_path / "none.toml")
    (tmp_path / "latin.toml").write_bytes(b'a = 1\nb = "caf\xe9"\n')
    with pytest.raises(BadFile, match=r"latin\.toml:2: byte 14 is not UTF-8"):
        toml_file.read(tmp_path / "latin.toml")
