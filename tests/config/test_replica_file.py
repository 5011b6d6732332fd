"""The file of a control replica: all faults at once, by line and key."""

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


def told(file: Path, text: str) -> Terms:
    file.write_text(text)
    return read(file)


def faults(file: Path, text: str) -> list[str]:
    file.write_text(text)
    with pytest.raises(FileErrors) as found:
        read(file)
    return [line.removeprefix(f"{file}:") for line in found.value.message.splitlines()]


def test_a_sound_file_tells_where_it_listens_and_whom_it_may_follow(file):
    terms = told(file, FILE)
    assert terms.listen == ("127.0.0.1", 7100)
    assert terms.followed == (
        Parent(("127.0.0.1", 7000)),
        Parent(("127.0.0.1", 7001), "north-2", "north"),
    )


@pytest.mark.parametrize(
    "text, instead, fault",
    [
        ("format = 1", "format = 2", "1: format: this glenfold reads format 1 only"),
        ('"north-1"\nlisten', '"a b"\nlisten', "3: replica.name: 'a b' is not letters"),
        ("127.0.0.1:7100", "127.0.0.1", "4: replica.listen: '127.0.0.1' is not HOST:PORT"),
        ("region", "regoin", "6: replica.regoin: unknown key; did you mean 'region'?"),
        ("127.0.0.1:7000", "127.0.0.1:0", "8: parents[0].address: '127.0.0.1:0' is not HOST:PORT"),
        ("127.0.0.1:7001", "127.0.0.1:7000", "10: parents[1].address: 127.0.0.1:7000 stands there twice"),
        ("127.0.0.1:7001", "127.0.0.1:7100", "10: parents[1].address: 127.0.0.1:7100 is where this replica"),
        ("[[parents]]", "[[parent]]", "1: parents: is missing; it must be a list"),
    ],
)
def test_each_fault_has_its_line_and_key(file, text, instead, fault):
    assert any(
        line.startswith(fault) for line in faults(file, FILE.replace(text, instead, 1 + ("[[" in text)))
    )


def test_all_faults_are_told_at_once(file):
    text = FILE.replace("127.0.0.1:7000", "x").replace("north-1", "a b")
    more = "[limits]\nhistory_mb = 0\nchildrem = 4\n[shutdown]\nspread_s = -1\n"
    assert [line.split(":")[0] for line in faults(file, text + more)] == ["3", "8", "14", "15", "17"]


def test_a_file_that_is_no_toml_or_is_not_there_is_a_fault(file):
    assert faults(file, "format = \n")[0].startswith("1: not TOML")
    file.unlink()
    with pytest.raises(FileErrors, match="can't be read"):
        read(file)


def test_more_children_than_the_user_may_have_open_files_are_a_fault(file, monkeypatch):
    needed = descriptors_needed(told(file, FILE).limits)
    monkeypatch.setattr(resource, "getrlimit", lambda which: (256, needed))
    assert told(file, FILE).limits.children == 4096
    monkeypatch.setattr(resource, "getrlimit", lambda which: (256, needed - 1))
    assert faults(file, FILE + "[limits]\nchildren = 4096\n")[0].startswith("14: limits.children: with")


def test_parents_and_logging_hold_at_once_and_all_else_waits_for_a_restart(file):
    begun = told(file, FILE)
    moved = told(file, FILE.replace(":7001", ":7002") + '[logging]\nlevel = "debug"\n')
    assert moved.followed != begun.followed and tables_needing_restart(begun, moved) == []
    other = FILE.replace(":7100", ":7101") + "[limits]\nidle_s = 3\n[shutdown]\nspread_s = 1\n"
    assert tables_needing_restart(begun, told(file, other)) == ["replica", "limits", "shutdown"]
