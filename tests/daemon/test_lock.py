"""Only one process holds a name's lock, whatever happens to the file and the process."""

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


def test_the_lock_is_released_when_its_process_is_killed(tmp_path: Path) -> None:
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


def test_a_lock_passed_to_another_descriptor_outlives_the_first(tmp_path: Path) -> None:
    first = lock.acquire(tmp_path / "made", "a")
    second = os.dup(first)
    os.close(first)
    with pytest.raises(lock.NameHeld):
        lock.acquire(tmp_path / "made", "a")
    os.close(second)
    assert (tmp_path / "made").stat().st_mode & 0o777 == 0o700


def test_a_lock_file_removed_before_locking_is_created_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The file is removed between opening and locking: the lock must be on the file that is there now."""
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


def test_a_symbolic_link_is_not_followed(tmp_path: Path) -> None:
    lock.path_of(tmp_path, "a").symlink_to(tmp_path / "elsewhere")
    with pytest.raises(OSError):
        lock.acquire(tmp_path, "a")
    assert not (tmp_path / "elsewhere").exists()
