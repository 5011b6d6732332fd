"""Experiments: invalid files are rejected with key and line, results do not depend on the number of workers,
and differences are paired by seed."""

import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import msgspec
import numpy as np
import pytest
import trio
from click.testing import CliRunner

from glenfold_lab.commands.experiment import command
from glenfold_lab.experiments import compare, plan, pool, revisions
from glenfold_lab.experiments.store import Outcome

HERE = Path(__file__).parent
ROOT = HERE.parents[1]
HEAD = 'format = 1\nname = "x"\nasks = "what?"\nscenarios = ["calm", "shrink"]\nseeds = [3, 1, 2]\n'
WITH_FACTORS = HEAD + "[factors]\n"
WITH_LEVELS = WITH_FACTORS + "clients.load = [0.5, 0.25]\n'relays.count' = [2, 4]\n"


@pytest.fixture(autouse=True)
def fake_world(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(pool, "PLAYER", "fake_world:play")
    monkeypatch.setenv("PYTHONPATH", f"{HERE}{os.pathsep}{ROOT}")


def write_file(tmp_path: Path, text: str) -> str:
    (tmp_path / "x.toml").write_text(text)
    return str(tmp_path / "x.toml")


def load_plan(tmp_path: Path, text: str) -> plan.Plan:
    return plan.load(write_file(tmp_path, text))


@pytest.mark.parametrize(
    "text, line, message",
    [
        (HEAD + "seed = 3", 6, "seed: unknown key; did you mean 'seeds'?"),
        (HEAD.replace("[3, 1, 2]", "[3,\n\n3]"), 7, "seeds[1]: 3 is listed twice"),
        (HEAD.replace("[3, 1, 2]", "2_000_000_000"), 5, "seeds: 4000000000 cells in all; at most 1000000"),
        (
            HEAD.replace('"shrink"', '"shrunk"'),
            4,
            "scenarios[1]: shrunk: no scenario of this name; did you",
        ),
        (HEAD.replace('"calm"', '"calm", "calm"'), 4, "scenarios[1]: 'calm' is listed twice"),
        (HEAD + 'revisions = ["here",\n"nonesuch"]', 7, "revisions[1]: revision nonesuch: "),
        (
            WITH_FACTORS + "clients.load = [0.5,\n-1]",
            8,
            "factors.clients.load[1]: calm with clients.load = -1: cl",
        ),
        (WITH_FACTORS + "clients.lod = [1]", 7, "factors.clients.lod[0]: calm with clients.lod = 1: cl"),
        (
            WITH_FACTORS + "length_s = [5]\nrelays.count = [1]",
            7,
            "factors.length_s[0]: shrink with length_s = 5, relays.count = 1: faults[0].at_s: 12 is beyond",
        ),
        (WITH_FACTORS + "'faults[0].size' = [2]", 7, 'factors."faults[0].size": calm has nothing at'),
        (WITH_FACTORS + "'a b' = [2]", 7, 'factors."a b": expected a key of a scenario'),
        (
            WITH_FACTORS + "clients.load = [1]\n'clients.load' = [2]",
            8,
            'factors."clients.load": clients.load is',
        ),
    ],
)
def test_an_invalid_file_is_rejected_and_nothing_is_written(
    text: str, line: int, message: str, tmp_path: Path
) -> None:
    file = write_file(tmp_path, text)
    result = CliRunner().invoke(command, [file, "--out", str(tmp_path / "out")])
    assert result.exit_code == 2
    assert result.stderr.startswith(f"{file}:{line}: {message}") and result.stderr.count("\n") == 1
    assert not (tmp_path / "out").exists()


# ---- playing -----------------------------------------------------------------------------------

COMMAND = (
    "import sys; from glenfold_lab.experiments import pool; pool.PLAYER = 'fake_world:play';"
    "from glenfold_lab.commands.experiment import command; command(sys.argv[1:])"
)


def start(file: str, out: Path, workers: int, hash_seed: str) -> "subprocess.Popen[bytes]":
    arguments = [file, "--out", str(out), "--json", f"{out}.json", "--workers", str(workers)]
    return subprocess.Popen(
        [sys.executable, "-c", COMMAND, *arguments],
        stdout=subprocess.DEVNULL,
        stderr=subprocess.PIPE,
        env={**os.environ, "PYTHONHASHSEED": hash_seed},
    )


def test_results_have_the_same_bytes_with_one_or_eight_workers_and_after_a_kill(tmp_path: Path) -> None:
    file = write_file(tmp_path, WITH_LEVELS.replace("[3, 1, 2]", "30"))
    uninterrupted, killed = tmp_path / "whole", tmp_path / "killed"
    single_worker = start(file, uninterrupted, 1, "1")
    killed_run = start(file, killed, 8, "2")
    for _ in range(3000):
        if killed_run.poll() is not None or killed.exists() and killed.read_bytes().count(b"\n") > 20:
            break
        time.sleep(0.01)
    killed_run.send_signal(signal.SIGKILL)
    assert killed_run.communicate() and killed_run.returncode == -signal.SIGKILL
    with killed.open("ab") as torn:
        torn.write(b"00000fff 0123abcd {")
    resumed = start(file, killed, 8, "3")
    stderr = resumed.communicate()[1].decode()
    assert "19 bytes were cut off" in stderr and "of 240 cells were played before" in stderr
    assert single_worker.wait() == resumed.returncode == 1  # seeds 7 and 13 fail
    assert (tmp_path / "whole.json").read_bytes() == (tmp_path / "killed.json").read_bytes()


def test_a_failing_cell_or_worker_affects_no_other_cell(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv("FAKE_TRIED", str(tmp_path / "tried"))
    seeds = [1, 13, 66, 7, 55, 2]
    file = write_file(
        tmp_path,
        HEAD.replace("[3, 1, 2]", str(seeds)).replace(', "shrink"', "") + "[factors]\nclients.load = [0.5]\n",
    )
    arguments = [file, "--out", str(tmp_path / "out"), "--json", str(tmp_path / "json"), "--workers", "2"]
    result = CliRunner().invoke(command, arguments)
    assert result.exit_code == 1 and "3 of 6 cells played, 3 failed" in result.stdout
    cells = {cell["seed"]: cell for cell in msgspec.json.decode((tmp_path / "json").read_bytes())["cells"]}
    assert list(cells) == seeds and all("result" in cells[seed] for seed in (1, 7, 2))
    assert cells[13]["failed"].startswith("ValueError: no such day at <object object at 0x...> (fake_world")
    assert cells[66]["failed"] == "the worker died of signal 9"
    assert cells[55]["failed"].startswith("ValueError: the figure service is nan")


def test_repeats_with_different_results_are_reported(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(pool, "PLAYER", "fake_world:play_unlike")
    file = write_file(tmp_path, HEAD + "repeats = 2\n[factors]\nclients.load = [0.5]\n")
    result = CliRunner().invoke(command, [file, "--out", str(tmp_path / "out"), "--workers", "1"])
    assert result.exit_code == 1 and "0 failed, 6 unlike" in result.stdout
    assert "not the same as its first play: calm, clients.load = 0.5, here, seed 3, repeat 1" in result.stderr


# ---- revisions ---------------------------------------------------------------------------------


def git(root: Path, *arguments: str) -> str:
    return subprocess.run(
        ["git", "-C", str(root), "-c", "user.name=n", "-c", "user.email=e", *arguments],
        check=True,
        capture_output=True,
        text=True,
    ).stdout.strip()


@pytest.fixture
def repository(tmp_path: Path) -> Path:
    root = tmp_path / "repository"
    (root / "linnetspread" / "more").mkdir(parents=True)
    git(root, "init", "-q")
    git(root, "commit", "-q", "--allow-empty", "-m", "none")
    git(root, "tag", "none")
    for name in ("old", "new"):
        (root / "linnetspread" / "__init__.py").write_text(f"# {name}\n")
        (root / "linnetspread" / "more.py").write_text("")
        (root / "linnetspread" / "more" / "x.sh").write_text("true")
        (root / "linnetspread" / "more" / "x.sh").chmod(0o755)
        git(root, "add", "-A")
        git(root, "commit", "-q", "-m", name)
        git(root, "tag", name)
    return root


def test_a_worker_imports_the_decisions_of_its_revision(repository: Path, tmp_path: Path) -> None:
    cache = tmp_path / "cache"
    decisions = tuple(revisions.find(name, repository, cache) for name in ("old", "here", "old"))
    assert decisions[0].id == git(repository, "rev-parse", "old:linnetspread")
    assert decisions[1].id == git(repository, "rev-parse", "new:linnetspread")
    experiment = load_plan(tmp_path, WITH_FACTORS + "clients.load = [0.5]\n")._replace(
        decisions=decisions[:2]
    )
    records: list[bytes] = []
    trio.run(pool.run, experiment, experiment.cells(), 2, records.append)
    for record in (msgspec.json.decode(data, type=Outcome) for data in records):
        played_with = decisions[list(experiment.cells())[record.cell].revision]
        assert record.result is not None
        assert record.result.revision == f"{played_with.name} {played_with.id[:12]}"
        assert record.result.happened[0].what == f"decisions of {played_with.folder}/linnetspread/__init__.py"


def test_a_worker_that_imported_other_decisions_is_rejected(repository: Path, tmp_path: Path) -> None:
    old = revisions.find("old", repository, tmp_path / "cache")
    experiment = load_plan(tmp_path, WITH_FACTORS + "clients.load = [0.5]\n")
    with pytest.raises(pool.WrongDecisions, match="has imported .* instead of old"):
        trio.run(
            pool.run,
            experiment._replace(decisions=(old._replace(folder=tmp_path),)),
            experiment.cells(),
            1,
            print,
        )


def test_a_modified_cached_package_is_extracted_again(repository: Path, tmp_path: Path) -> None:
    first = revisions.find("old", repository, tmp_path / "cache")
    (first.folder / "linnetspread" / "__init__.py").write_text("# changed\n")
    assert revisions.find("old", repository, tmp_path / "cache") == first
    assert (first.folder / "linnetspread" / "__init__.py").read_text() == "# old\n"


@pytest.mark.parametrize(
    "name, reason",
    [
        ("none", "holds no linnetspread/"),
        ("nonesuch", "has no such revision"),
        ("--all", "has no such revision"),
    ],
)
def test_an_unknown_revision_is_rejected(name: str, reason: str, repository: Path) -> None:
    with pytest.raises(revisions.BadRevision, match=f"^revision {name}: .*{reason}") as caught:
        revisions.find(name, repository, repository / "cache")
    assert caught.value.exit_code == 2


# ---- pairs -------------------------------------------------------------------------------------


def test_differences_pair_results_of_the_same_seed(tmp_path: Path) -> None:
    experiment = load_plan(tmp_path, WITH_LEVELS.replace("[3, 1, 2]", "20"))
    experiment = experiment._replace(
        decisions=(experiment.decisions[0], experiment.decisions[0]._replace(name="other"))
    )
    noise = np.random.default_rng(1).normal(0, 100, 21)
    table = {
        (variant, revision, seed): {
            "up": noise[seed] + revision + variant % 2 * 10,
            "alike": noise[seed],
            "either": noise[seed] + (-1) ** seed * revision * (1 + seed % 3),
        }
        for variant in range(8)
        for revision in range(2)
        for seed in experiment.seeds
    }
    del table[0, 1, 5]
    found = list(compare.differences(experiment, table))
    by_revision = {
        (difference.scenario, *difference.levels.values(), difference.figure): difference
        for difference in found
        if difference.of == "revision"
    }
    difference = by_revision["calm", "0.5", "2", "up"]
    assert (difference.base, difference.other, difference.pairs, difference.missing, difference.higher) == (
        "here",
        "other",
        19,
        1,
        19,
    )
    assert (
        difference.mean == pytest.approx(1)
        and difference.low == pytest.approx(1)
        and difference.says == "higher"
    )
    alike = by_revision["shrink", "0.25", "4", "alike"]
    assert (alike.equal, alike.low, alike.high, alike.says) == (20, 0, 0, "no difference shown")
    assert by_revision["calm", "0.5", "4", "either"].says == "no difference shown"
    assert by_revision["all", "all", "all", "up"].pairs == 19
    relays = [
        (difference.scenario, difference.levels, difference.base, difference.other, round(difference.mean))
        for difference in found
        if (difference.of, difference.figure, difference.revision) == ("relays.count", "up", "here")
    ]
    assert relays == [
        (name, {"clients.load": load}, "2", "4", 10)
        for name in ("calm", "shrink")
        for load in ("0.5", "0.25")
    ]


def test_the_interval_matches_student_t_for_normal_differences_and_needs_six_pairs() -> None:
    values = np.random.default_rng(2).normal(5, 2, 12)
    low, high = compare.interval(values)
    half_width = compare.t_quantile(0.975, 11) * values.std(ddof=1) / np.sqrt(12)
    assert compare.t_quantile(0.975, 11) == pytest.approx(2.201, abs=1e-3)
    assert compare.t_quantile(0.975, 5) == pytest.approx(2.571, abs=4e-3)
    assert low == pytest.approx(values.mean() - half_width, abs=0.15 * half_width)
    assert high == pytest.approx(values.mean() + half_width, abs=0.15 * half_width)
    assert compare.interval(values) == (low, high)
    assert compare.interval(values[:5]) == (None, None)
