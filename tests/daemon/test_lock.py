"""One process a name, whatever becomes of the file and of the process."""

import os
import subprocess
import sys
from pathlib import Path

import pytest

from glenfold.daemon import lock

HOLD = (
    "import sys; from pathlib import Path; from glenfold.daemon import lock; "
    "lock.acquire(Path(sys.argv[1]), 'a'); print(flush=True); sys.stdin.read()"
)


def test_it_dies_with_its_process_however_that_ends(tmp_path: Path) -> None:
    root = Path(lock.__file__).parents[2]
    with subprocess.Popen(
        [sys.executable, "-c", HOLD, tmp_path], stdin=subprocess.PIPE, stdout=subprocess.PIPE, cwd=root
    ) as other:
        assert other.stdout is not None and other.stdout.readline()
        with pytest.raises(lock.NameHeld, match="a runs already"):
            lock.acquire(tmp_path, "a")
        os.close(lock.acquire(tmp_path, "b"))
        other.kill()
        other.wait()
    os.close(lock.acquire(tmp_path, "a"))


def test_one_that_is_passed_on_outlives_the_first_holder(tmp_path: Path) -> None:
    first = lock.acquire(tmp_path / "made", "a")
    second = os.dup(first)
    os.close(first)
    with pytest.raises(lock.NameHeld):
        lock.acquire(tmp_path / "made", "a")
    os.close(second)
    assert (tmp_path / "made").stat().st_mode & 0o777 == 0o700


def test_a_file_that_was_replaced_keeps_nobody_out_unnoticed(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Somebody removes the file between its being opened and locked: the lock is on what is there now."""
    lock_it, seen = lock.fcntl.flock, []

    def removed_first(descriptor: int, operation: int) -> None:
        if not seen:
            lock.path_of(tmp_path, "a").unlink()
        seen.append(descriptor)
        lock_it(descriptor, operation)

    monkeypatch.setattr(lock.fcntl, "flock", removed_first)
    held = lock.acquire(tmp_path, "a")
    assert len(seen) == 2 and os.path.samestat(os.fstat(held), os.stat(lock.path_of(tmp_path, "a")))
    os.close(held)


def test_a_link_that_somebody_laid_is_not_followed(tmp_path: Path) -> None:
    lock.path_of(tmp_path, "a").symlink_to(tmp_path / "elsewhere")
    with pytest.raises(OSError):
        lock.acquire(tmp_path, "a")
    assert not (tmp_path / "elsewhere").exists()
