"""The list of tests that are known to fail: its rules, and that a run tolerates only these failures."""

import known_red
import pytest
from known_red import FaultyList, KnownRed

pytest_plugins = ["pytester"]

PLAY = "python -m some.model, seed 1"

TESTS = """
import pytest
def test_fails(): assert False
def test_works(): pass
@pytest.mark.parametrize("n", [1, 2])
def test_each(n): assert n == 1
"""


def run(pytester: pytest.Pytester, listed: str | None, *args: str, tests: str = TESTS) -> pytest.RunResult:
    """Runs pytest with `tests` in tests/test_some.py. `listed` is the text of the list; None for no file."""
    folder = pytester.mkdir("tests")
    (folder / "test_some.py").write_text(tests)
    if listed is not None:
        (pytester.path / known_red.FILE_NAME).write_text(listed)
    return pytester.runpytest_inprocess("-p", "known_red", *args)


def test_a_run_tolerates_only_listed_failures_and_prints_them(pytester: pytest.Pytester) -> None:
    listed = (
        f"tests/test_some.py::test_fails | {PLAY} | it fails | 7\n\n"
        "tests/test_some.py::test_each[2] | make test, seed none | odd | 8\n"
    )
    result = run(pytester, listed)
    result.assert_outcomes(xfailed=2, passed=2)
    assert result.ret == 0
    result.stdout.fnmatch_lines(
        [
            "*known red, by KNOWN-RED.txt*",
            f"failed: tests/test_some.py::test_fails | {PLAY} | it fails | 7",
            "failed: tests/test_some.py::test_each[[]2] | make test, seed none | odd | 8",
        ]
    )


def test_an_unlisted_failure_still_fails_the_run(pytester: pytest.Pytester) -> None:
    result = run(pytester, f"tests/test_some.py::test_fails | {PLAY} | it fails | 7\n")
    result.assert_outcomes(xfailed=1, passed=2, failed=1)
    assert result.ret == 1


def test_without_the_file_nothing_is_expected_to_fail(pytester: pytest.Pytester) -> None:
    result = run(pytester, None)
    result.assert_outcomes(passed=2, failed=2)
    result.stdout.no_fnmatch_line("*known red*")


def test_a_listed_test_that_passes_is_named_and_does_not_fail_the_run(pytester: pytest.Pytester) -> None:
    result = run(pytester, f"tests/test_some.py::test_works | {PLAY} | mended | 7\n", "-k", "works")
    result.assert_outcomes(xpassed=1, deselected=3)
    assert result.ret == 0
    result.stdout.fnmatch_lines([f"passed: tests/test_some.py::test_works | {PLAY} | mended | 7"])


@pytest.mark.parametrize("selection", [("tests/test_some.py::test_works",), ("-k", "works")])
def test_a_listed_test_outside_the_selection_is_reported_as_not_run(
    pytester: pytest.Pytester, selection: tuple[str, ...]
) -> None:
    listed = f"tests/test_some.py::test_fails | {PLAY} | it fails | 7\n"
    result = run(pytester, listed, *selection, "-v")
    assert result.parseoutcomes()["passed"] == 1
    assert result.ret == 0
    result.stdout.fnmatch_lines([f"not run: tests/test_some.py::test_fails | {PLAY} | it fails | 7"])


def test_listed_tests_outside_the_selection_are_counted_and_named_only_when_asked(
    pytester: pytest.Pytester,
) -> None:
    """Guards against a summary of unrelated tests that hides the result of the selected one."""
    listed = "".join(
        f"tests/test_some.py::{name} | {PLAY} | it fails | 7\n" for name in ("test_fails", "test_works")
    )
    result = run(pytester, listed, "-k", "works")
    result.stdout.fnmatch_lines(["not run: 1 of 2 listed tests, named with -v"])
    result.stdout.no_fnmatch_line("not run: tests/*")
    result.stdout.fnmatch_lines(["passed: tests/test_some.py::test_works*"])


@pytest.mark.parametrize("option", ["--ignore=tests/test_some.py", "--ignore-glob=*/test_some.py"])
def test_an_entry_in_a_file_that_is_left_out_is_not_an_error(pytester: pytest.Pytester, option: str) -> None:
    result = run(pytester, f"tests/test_some.py::test_fails | {PLAY} | it fails | 7\n", option, "-v")
    assert result.ret == pytest.ExitCode.NO_TESTS_COLLECTED
    result.stdout.fnmatch_lines([f"not run: tests/test_some.py::test_fails | {PLAY} | it fails | 7"])


@pytest.mark.parametrize(
    "test, args",
    [
        ("tests/test_some.py::test_gone", ()),
        ("tests/test_some.py::test_each", ()),  # it has parameters, so it is not a test id
        ("tests/test_some.py::test_gone", ("tests/test_some.py",)),
        ("tests/test_some.py::test_gone", ("tests", "-k", "works")),
        ("tests/test_gone.py::test_works", ("tests/test_some.py::test_works",)),
    ],
)
def test_an_entry_for_a_test_that_does_not_exist_is_an_error(
    pytester: pytest.Pytester, test: str, args: tuple[str, ...]
) -> None:
    result = run(pytester, f"{test} | {PLAY} | it fails | 7\n", *args)
    assert result.ret == pytest.ExitCode.USAGE_ERROR
    result.stderr.fnmatch_lines([f"ERROR: KNOWN-RED.txt: no such test: {test}"])


def test_a_file_that_cannot_be_imported_is_reported_as_an_import_error(pytester: pytest.Pytester) -> None:
    result = run(
        pytester, f"tests/test_some.py::test_fails | {PLAY} | it fails | 7\n", tests="import no_such_module"
    )
    assert result.ret == pytest.ExitCode.INTERRUPTED
    result.stdout.fnmatch_lines(["*No module named 'no_such_module'*"])


def test_an_invalid_list_ends_the_run(pytester: pytest.Pytester) -> None:
    result = run(pytester, "tests/test_some.py::test_fails\n")
    assert result.ret == pytest.ExitCode.USAGE_ERROR
    result.stderr.fnmatch_lines(
        ["ERROR: KNOWN-RED.txt: line 1: not of the form test | command, seed N | what was seen | issue"]
    )


def test_entries_are_read_in_order() -> None:
    lines = [f"t.py::test_{n} | make test, seed none | c | {n}" for n in range(20)]
    lines[7] = "t.py::test_c[x|y z] | python -m some.model --seed 1, more, seed 1, 22 | c d | 2"
    entries = known_red.parse("\n\n ".join(lines) + " \n")
    assert [str(entry) for entry in entries] == lines
    assert entries[0] == KnownRed("t.py::test_0", "make test", (), "c", 0)
    assert entries[7] == KnownRed(
        "t.py::test_c[x|y z]", "python -m some.model --seed 1, more", (1, 22), "c d", 2
    )


@pytest.mark.parametrize(
    "text, problem",
    [
        (f"t.py::b | {PLAY} | c | 1\n\nt.py::b | make, seed 2 | d | 2\n", "line 3: t.py::b is listed twice"),
        (f"t.py::b | {PLAY} | c\n", "line 1: not of the form"),
        (f"t.py::b | {PLAY} |  | 1\n", "line 1: not of the form"),
        (f"t.py::b | {PLAY} | c | 1 | 2\n", "line 1: not of the form"),
        ("t.py::b | c | 1\n", "line 1: not of the form"),  # the former format, with a cause only
        (f"a file | {PLAY} | c | 1\n", "line 1: 'a file' is no test"),
        (f"t.py | {PLAY} | c | 1\n", "line 1: 't.py' is no test"),
        ("t.py::b | make test | c | 1\n", "line 1: 'make test' does not end in ', seed N', or ', seed none'"),
        ("t.py::b | make test, seed | c | 1\n", "line 1: 'make test, seed' does not end in"),
        ("t.py::b | make test, seed 1 to 4 | c | 1\n", "does not end in"),
        ("t.py::b | seed 1 | c | 1\n", "line 1: 'seed 1' does not end in"),
        (f"t.py::b | {PLAY} | c | soon\n", "line 1: 'soon' is no number of an issue"),
    ],
)
def test_an_error_in_the_list_is_reported_with_its_line(text: str, problem: str) -> None:
    with pytest.raises(FaultyList, match=problem):
        known_red.parse(text)
