"""Pytest plugin: tests that are listed in KNOWN-RED.txt at the root are expected to fail.

Each line is `test-id | command, seed N | what was seen | issue`. The test id is that of pytest, as in
`tests/test_x.py::test_y[parameter]`. The command reproduces the failure with the seeds given, or `seed none`
if it draws nothing at random. The issue is a number. The run succeeds whether these tests fail or pass, and
lists them in its summary; those that were not run are counted, and listed with `-v`. Without the file no test
is expected to fail. An invalid file is a usage error.
"""

import re
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from pathlib import Path

import pytest

FILE_NAME = "KNOWN-RED.txt"
SEPARATOR = " | "
NO_SEED = "none"
FORM = SEPARATOR.join(("test", "command, seed N", "what was seen", "issue"))
FIELDS = FORM.count(SEPARATOR) + 1
TEST = re.compile(r"[^:\s]+\.py(::\S+)+( \S+)*")  # a parameter may have spaces
PLAY = re.compile(rf"(?P<command>\S.*), seed (?P<seeds>{NO_SEED}|\d+(, \d+)*)")
ISSUE = re.compile(r"\d+")


class FaultyList(Exception):
    """Raised when the list is invalid; the message names the line."""


@dataclass(frozen=True, slots=True)
class KnownRed:
    """A test that fails for a known reason.

    `command` reproduces the failure with each of `seeds`, which are empty if nothing is drawn at random.
    `seen` describes the failure, and `issue` is the number of the issue for its cause.
    """

    test: str
    command: str
    seeds: tuple[int, ...]
    seen: str
    issue: int

    @property
    def file(self) -> str:
        return self.test.partition("::")[0]

    def __str__(self) -> str:
        seeds = ", ".join(map(str, self.seeds)) or NO_SEED
        return SEPARATOR.join((self.test, f"{self.command}, seed {seeds}", self.seen, str(self.issue)))


ENTRIES: pytest.StashKey[list[KnownRed]] = pytest.StashKey()


def parse(text: str) -> list[KnownRed]:
    """Returns the entries of a list; empty lines are skipped. Raises FaultyList."""
    entries: list[KnownRed] = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip():
            continue
        entry = _parse_line(number, line)
        if entry.test in (other.test for other in entries):
            raise FaultyList(f"line {number}: {entry.test} is listed twice")
        entries.append(entry)
    return entries


def _parse_line(number: int, line: str) -> KnownRed:
    fields = [field.strip() for field in line.split(SEPARATOR)]
    if len(fields) != FIELDS or not all(fields):
        raise FaultyList(f"line {number}: not of the form {FORM}")
    test, play, seen, issue = fields
    if not TEST.fullmatch(test):
        raise FaultyList(f"line {number}: '{test}' is no test, as in tests/test_x.py::test_y[parameter]")
    if not (found := PLAY.fullmatch(play)):
        raise FaultyList(f"line {number}: '{play}' does not end in ', seed N', or ', seed {NO_SEED}'")
    if not ISSUE.fullmatch(issue):
        raise FaultyList(f"line {number}: '{issue}' is no number of an issue")
    seeds = () if found["seeds"] == NO_SEED else tuple(map(int, found["seeds"].split(", ")))
    return KnownRed(test, found["command"], seeds, seen, int(issue))


def read(path: Path) -> list[KnownRed]:
    """Returns the entries of a file; none if it does not exist. Raises FaultyList."""
    return parse(path.read_text()) if path.exists() else []


def missing(
    entries: Iterable[KnownRed], collected: set[str], root: Path, whole_paths: Sequence[Path]
) -> list[KnownRed]:
    """Returns the entries whose test does not exist.

    Their file is missing, or was collected in full without the test. A test in a file that was not collected
    may exist.
    """
    return [
        entry
        for entry in entries
        if entry.test not in collected
        and (not (root / entry.file).is_file() or _is_within(root / entry.file, whole_paths))
    ]


def _is_within(file: Path, paths: Sequence[Path]) -> bool:
    return any(file == path or path in file.parents for path in paths)


def _whole_paths(config: pytest.Config) -> list[Path]:
    """Returns the files and folders whose tests are all collected in this run.

    An argument that names a single test is not a file, so it stands for none.
    """
    if config.getoption("ignore") or config.getoption("ignore_glob"):
        return []
    return [(config.invocation_params.dir / arg).resolve() for arg in config.args]


@pytest.hookimpl(tryfirst=True)  # runs before tests are deselected, as by -k
def pytest_collection_modifyitems(
    session: pytest.Session, config: pytest.Config, items: list[pytest.Item]
) -> None:
    try:
        entries = read(config.rootpath / FILE_NAME)
    except FaultyList as error:
        raise pytest.UsageError(f"{FILE_NAME}: {error}") from None
    by_test = {item.nodeid: item for item in items}
    if not session.testsfailed:  # the tests of a file that can't be imported are unknown
        unknown = missing(entries, set(by_test), config.rootpath, _whole_paths(config))
        if unknown:
            raise pytest.UsageError(
                f"{FILE_NAME}: no such test: {', '.join(entry.test for entry in unknown)}"
            )
    config.stash[ENTRIES] = entries
    for entry in entries:
        if item := by_test.get(entry.test):
            item.add_marker(pytest.mark.xfail(reason=f"{entry.seen} (issue {entry.issue})", strict=False))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    entries = config.stash.get(ENTRIES, [])
    if not entries:
        return
    terminalreporter.section(f"known red, by {FILE_NAME}")
    failed = {report.nodeid for report in terminalreporter.getreports("xfailed")}
    passed = {report.nodeid for report in terminalreporter.getreports("xpassed")}
    not_run = [entry for entry in entries if entry.test not in failed | passed]
    for entry in entries:
        if entry not in not_run:
            terminalreporter.write_line(f"{'failed' if entry.test in failed else 'passed'}: {entry}")
    if config.get_verbosity() > 0:
        for entry in not_run:
            terminalreporter.write_line(f"not run: {entry}")
    elif not_run:
        terminalreporter.write_line(f"not run: {len(not_run)} of {len(entries)} listed tests, named with -v")
