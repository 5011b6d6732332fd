"""The file of a control replica: all errors are reported at once, by line and key."""

import resource
from pathlib import Path

import pytest

from glenfold.config.platform import Parent
from glenfold.config.replica import Terms, descriptors_needed, read, tables_needing_restart
from glenfold.config.tables import FileErrors

FILE = """format = 1
[replica]
name = "north-1"
listen = "127.0.0.1:7100"
zone = "north-1"
region = "north"
[[parents]]
address = "127.0.0.1:7000"
[[parents]]
address = "127.0.0.1:7001"
zone = "north-2"
region = "north"
"""


@pytest.fixture
def file(tmp_path: Path) -> Path:
    return tmp_path / "replica.toml"


def read_terms(file: Path, text: str) -> Terms:
    file.write_text(text)
    return read(file)


def errors_of(file: Path, text: str) -> list[str]:
    file.write_text(text)
    with pytest.raises(FileErrors) as found:
        read(file)
    return [line.removeprefix(f"{file}:") for line in found.value.message.splitlines()]


def test_a_valid_file_gives_the_listener_and_the_parents(file):
    terms = read_terms(file, FILE)
    assert terms.listen == ("127.0.0.1", 7100)
    assert terms.followed == (
        Parent(("127.0.0.1", 7000)),
        Parent(("127.0.0.1", 7001), "north-2", "north"),
    )


@pytest.mark.parametrize(
    "text, replacement, error",
    [
        ("format = 1", "format = 2", "1: format: this glenfold reads format 1 only"),
        ('"north-1"\nlisten', '"a b"\nlisten', "3: replica.name: 'a b' is not letters"),
        ("127.0.0.1:7100", "127.0.0.1", "4: replica.listen: '127.0.0.1' is not HOST:PORT"),
        ("region", "regoin", "6: replica.regoin: unknown key; did you mean 'region'?"),
        ("127.0.0.1:7000", "127.0.0.1:0", "8: parents[0].address: '127.0.0.1:0' is not HOST:PORT"),
        ("127.0.0.1:7001", "127.0.0.1:7000", "10: parents[1].address: 127.0.0.1:7000 is listed twice"),
        (
            "127.0.0.1:7001",
            "127.0.0.1:7100",
            "10: parents[1].address: 127.0.0.1:7100 is the address that this replica",
        ),
        ("[[parents]]", "[[parent]]", "1: parents: is missing; it must be a list"),
    ],
)
def test_each_error_has_its_line_and_key(file, text, replacement, error):
    assert any(
        line.startswith(error)
        for line in errors_of(file, FILE.replace(text, replacement, 1 + ("[[" in text)))
    )


def test_all_errors_are_reported_at_once(file):
    text = FILE.replace("127.0.0.1:7000", "x").replace("north-1", "a b")
    more = "[limits]\nhistory_mb = 0\nchildrem = 4\n[shutdown]\nspread_s = -1\n"
    assert [line.split(":")[0] for line in errors_of(file, text + more)] == ["3", "8", "14", "15", "17"]


def test_a_file_that_is_not_toml_or_does_not_exist_is_an_error(file):
    assert errors_of(file, "format = \n")[0].startswith("1: not TOML")
    file.unlink()
    with pytest.raises(FileErrors, match="can't be read"):
        read(file)


def test_too_many_children_for_the_limit_of_open_files_are_an_error(file, monkeypatch):
    needed = descriptors_needed(read_terms(file, FILE).limits)
    monkeypatch.setattr(resource, "getrlimit", lambda which: (256, needed))
    assert read_terms(file, FILE).limits.children == 4096
    monkeypatch.setattr(resource, "getrlimit", lambda which: (256, needed - 1))
    assert errors_of(file, FILE + "[limits]\nchildren = 4096\n")[0].startswith("14: limits.children: with")


def test_parents_and_logging_are_reloaded_and_all_else_needs_a_restart(file):
    started_with = read_terms(file, FILE)
    moved = read_terms(file, FILE.replace(":7001", ":7002") + '[logging]\nlevel = "debug"\n')
    assert moved.followed != started_with.followed and tables_needing_restart(started_with, moved) == []
    other = FILE.replace(":7100", ":7101") + "[limits]\nidle_s = 3\n[shutdown]\nspread_s = 1\n"
    assert tables_needing_restart(started_with, read_terms(file, other)) == ["replica", "limits", "shutdown"]
