"""The file of results: a torn end is cut off and continued; earlier damage is reported."""

from contextlib import closing
from pathlib import Path

import msgspec
import pytest

from glenfold.toml_file import BadFile
from glenfold_lab.experiments.store import MAGIC, Header, Outcome, Short, go_on, open_read_only

HEADER = Header("one", "what?", 3, {"scenarios": "abc", "revisions": ["here 1"]})
RECORDS = [msgspec.json.encode(Outcome(cell, failed="of no use\n" * cell)) for cell in (2, 0, 1)]


@pytest.fixture
def results_file(tmp_path: Path) -> Path:
    path = tmp_path / "full"
    with closing(go_on(str(path), HEADER)) as store:
        for record in RECORDS:
            store.add(record)
    return path


def test_a_file_truncated_at_any_byte_continues_after_its_last_complete_line(
    results_file: Path, tmp_path: Path
) -> None:
    content = results_file.read_bytes()
    line_ends = [at + 1 for at, byte in enumerate(content) if byte == ord("\n")][1:]
    # The sizes cut the file around the end of a line and within the next line's prefix.
    edge_sizes = {end + by for end in line_ends for by in (-1, 0, 1, 8, 9, 17, 18)}
    sizes = edge_sizes | set(range(line_ends[0], len(content), 11))
    for size in sorted(size for size in sizes if line_ends[0] <= size < len(content)):
        path = tmp_path / "cut"
        path.write_bytes(content[:size])
        complete_records = sum(end <= size for end in line_ends) - 1
        with closing(go_on(str(path), HEADER)) as store:
            assert len(store.locations) == complete_records
            assert store.torn_bytes == size - line_ends[complete_records]
            for record in RECORDS[complete_records:]:
                store.add(record)
            assert [summary.cell for summary in store.outcomes(Short)] == [0, 1, 2]
        assert path.read_bytes() == content


def test_damage_before_the_last_line_is_reported_with_its_offset(results_file: Path) -> None:
    content = bytearray(results_file.read_bytes())
    second = [at + 1 for at, byte in enumerate(content) if byte == ord("\n")][2]
    for at in (second, second + 7, second + 9, second + 30):  # in the length, the checksum and the JSON
        damaged = content.copy()
        damaged[at] ^= 1
        results_file.write_bytes(damaged)
        for open_file in (
            lambda: open_read_only(str(results_file)),
            lambda: go_on(str(results_file), HEADER),
        ):
            with pytest.raises(BadFile, match=rf":4: is damaged in the line that begins at byte {second}"):
                open_file()
        assert results_file.read_bytes() == damaged


def test_a_file_of_another_experiment_is_rejected_with_the_difference(results_file: Path) -> None:
    other = msgspec.structs.replace(HEADER, identity={**HEADER.identity, "revisions": ["here 2"]})
    with pytest.raises(BadFile, match="holds results of 'one', of which these differ: revisions;"):
        go_on(str(results_file), other)


@pytest.mark.parametrize("content", [b"", b"my notes\n", MAGIC, MAGIC + b"0000"])
def test_a_file_of_another_kind_is_left_unchanged(content: bytes, tmp_path: Path) -> None:
    path = tmp_path / "notes"
    path.write_bytes(content)
    with pytest.raises(BadFile):
        go_on(str(path), HEADER)
    assert path.read_bytes() == content


def test_two_experiments_cannot_write_to_the_same_file(results_file: Path) -> None:
    with (
        closing(go_on(str(results_file), HEADER)),
        pytest.raises(BadFile, match="another experiment is writing to this file"),
    ):
        go_on(str(results_file), HEADER)


def test_a_full_disk_is_reported(results_file: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    def no_room(number: int) -> None:
        raise OSError(28, "No space left on device")

    with closing(go_on(str(results_file), HEADER)) as store:
        monkeypatch.setattr("os.fdatasync", no_room)
        with pytest.raises(BadFile, match="can't be written: No space left"):
            store.add(RECORDS[0])
    with closing(go_on(str(results_file), HEADER)) as store:
        assert sorted(store.locations) == [0, 1, 2]
