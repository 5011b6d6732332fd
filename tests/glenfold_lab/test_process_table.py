"""The search for a fleet's processes: it finds each one, and reads no command line of others twice."""

import os
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import pytest

from glenfold_lab.stand_ins import process_table
from glenfold_lab.stand_ins.process_table import ProcessTable

SLEEPS = "import sys, time; print('up', flush=True); time.sleep(60)"


@contextmanager
def running(*arguments: str) -> Iterator[int]:
    """Runs a process with these arguments in its command line; yields its id."""
    process = subprocess.Popen([sys.executable, "-c", SLEEPS, *arguments], stdout=subprocess.PIPE)
    assert process.stdout is not None
    try:
        process.stdout.readline()
        yield process.pid
    finally:
        process.kill()
        process.wait()
        process.stdout.close()


def ids_by_instance(table: ProcessTable) -> dict[int, list[int]]:
    return {number: [each.pid for each in found] for number, found in table.by_instance().items()}


def test_processes_are_found_by_folder_and_instance_as_they_come_and_go(tmp_path: Path) -> None:
    ours, other = os.fspath(tmp_path / "a" / "file"), os.fspath(tmp_path / "b" / "file")
    table = ProcessTable(tmp_path / "a")
    with running(ours, "--instance", "1", "x") as first, running(other, "--instance", "1", "x"):
        assert ids_by_instance(table) == {1: [first]}
        with running(ours, "--instance", "1", "x") as second, running(ours, "--instance", "2", "x") as third:
            assert ids_by_instance(table) == {1: [first, second], 2: [third]}
        assert ids_by_instance(table) == {1: [first]}
    assert ids_by_instance(table) == {}


def test_a_process_that_has_exited_but_was_not_reaped_is_not_found(tmp_path: Path) -> None:
    table = ProcessTable(tmp_path)
    command = [sys.executable, "-c", "input()", os.fspath(tmp_path), "--instance", "1", "x"]
    process = subprocess.Popen(command, stdin=subprocess.PIPE)
    try:
        while ids_by_instance(table) != {1: [process.pid]}:
            assert process.poll() is None
    finally:
        process.kill()
        os.waitid(os.P_PID, process.pid, os.WEXITED | os.WNOWAIT)  # It has exited and stays a zombie.
    assert ids_by_instance(table) == {}
    process.wait()
    assert process.stdin is not None
    process.stdin.close()


def test_command_lines_of_other_processes_are_read_once(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a walk over all of /proc in the event loop that takes the times of a run."""
    read, real = list[int](), process_table._command_line

    def command_line(process_id: int) -> bytes:
        read.append(process_id)
        return real(process_id)

    table = ProcessTable(tmp_path)
    with running("of another program") as foreign:
        table.by_instance()
        monkeypatch.setattr(process_table, "_command_line", command_line)
        table.by_instance()
        assert foreign not in read


@pytest.mark.parametrize("command", ["own", "none", "of a supervisor"])
def test_a_process_that_is_about_to_run_another_program_is_looked_at_again(
    command: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against missing a relay that was forked, but had not begun to run, at the first look."""
    with running(os.fspath(tmp_path / "file"), "--instance", "3", "x") as process_id:
        real, table = process_table._command_line, ProcessTable(tmp_path)
        before = {
            "own": real(os.getpid()),
            "none": b"",
            "of a supervisor": b"glenfold\0fleet\0up\0" + os.fsencode(tmp_path / "file") + b"\0",
        }[command]
        with monkeypatch.context() as patch:
            patch.setattr(
                process_table, "_command_line", lambda each: before if each == process_id else real(each)
            )
            assert ids_by_instance(table) == {}
        assert ids_by_instance(table) == {3: [process_id]}
