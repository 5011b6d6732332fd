"""Experiments: files refused with key and line, results alike however they were played, and pairs."""

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
FACTORS = HEAD + "[factors]\n"
LEVELS = FACTORS + "clients.load = [0.5, 0.25]\n'relays.count' = [2, 4]\n"


@pytest.fixture(autouse=True)
def fake_world(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(pool, "PLAYER", "fake_world:play")
    monkeypatch.setenv("PYTHONPATH", f"{HERE}{os.pathsep}{ROOT}")


def written(tmp_path: Path, text: str) -> str:
    (tmp_path / "x.toml").write_text(text)
    return str(tmp_path / "x.toml")


def loaded(tmp_path: Path, text: str) -> plan.Plan:
    return plan.load(written(tmp_path, text))


@pytest.mark.parametrize(
    "text, line, message",
    [
        (HEAD + "seed = 3", 6, "seed: unknown key; did you mean 'seeds'?"),
        (HEAD.replace("[3, 1, 2]", "[3,\n\n3]"), 7, "seeds[1]: 3 is there twice"),
        (HEAD.replace("[3, 1, 2]", "2_000_000_000"), 5, "seeds: 4000000000 cells in all; at most 1000000"),
        (HEAD.replace('"shrink"', '"shrunk"'), 4, "scenarios[1]: shrunk: no scenario of this name; did you"),
        (HEAD.replace('"calm"', '"calm", "calm"'), 4, "scenarios[1]: 'calm' is there twice"),
        (HEAD + 'revisions = ["here",\n"nonesuch"]', 7, "revisions[1]: revision nonesuch: "),
        (
            FACTORS + "clients.load = [0.5,\n-1]",
            8,
            "factors.clients.load[1]: calm with clients.load = -1: cl",
        ),
        (FACTORS + "clients.lod = [1]", 7, "factors.clients.lod[0]: calm with clients.lod = 1: cl"),
        (
            FACTORS + "length_s = [5]\nrelays.count = [1]",
            7,
            "factors.length_s[0]: shrink with length_s = 5, relays.count = 1: faults[0].at_s: 12 is beyond",
        ),
        (FACTORS + "'faults[0].size' = [2]", 7, 'factors."faults[0].size": calm has nothing at'),
        (FACTORS + "'a b' = [2]", 7, 'factors."a b": expected a key of a scenario'),
        (FACTORS + "clients.load = [1]\n'clients.load' = [2]", 8, 'factors."clients.load": clients.load is'),
    ],
)
def test_a_mistake_is_refused_and_nothing_is_written(
    text: str, line: int, message: str, tmp_path: Path
) -> None:
    file = written(tmp_path, text)
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
    words = [file, "--out", str(out), "--json", f"{out}.json", "--workers", str(workers)]
    return subprocess.Popen(
        [sys.executable, "-c", COMMAND, *words],
        stdout=subprocess.DEVNULL,
        stderr=subprocess.PIPE,
        env={**os.environ, "PYTHONHASHSEED": hash_seed},
    )


def test_the_same_bytes_with_one_or_eight_workers_and_after_a_kill(tmp_path: Path) -> None:
    file = written(tmp_path, LEVELS.replace("[3, 1, 2]", "30"))
    whole, killed = tmp_path / "whole", tmp_path / "killed"
    alone = start(file, whole, 1, "1")
    broken = start(file, killed, 8, "2")
    for _ in range(3000):
        if broken.poll() is not None or killed.exists() and killed.read_bytes().count(b"\n") > 20:
            break
        time.sleep(0.01)
    broken.send_signal(signal.SIGKILL)
    assert broken.communicate() and broken.returncode == -signal.SIGKILL
    with killed.open("ab") as torn:
        torn.write(b"00000fff 0123abcd {")
    again = start(file, killed, 8, "3")
    told = again.communicate()[1].decode()
    assert "19 bytes were cut off" in told and "of 240 cells were played before" in told
    assert alone.wait() == again.returncode == 1  # seeds 7 and 13 fail
    assert (tmp_path / "whole.json").read_bytes() == (tmp_path / "killed.json").read_bytes()


def test_a_cell_that_fails_and_a_worker_that_dies_cost_no_other(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv("FAKE_TRIED", str(tmp_path / "tried"))
    seeds = [1, 13, 66, 7, 55, 2]
    file = written(
        tmp_path,
        HEAD.replace("[3, 1, 2]", str(seeds)).replace(', "shrink"', "") + "[factors]\nclients.load = [0.5]\n",
    )
    words = [file, "--out", str(tmp_path / "out"), "--json", str(tmp_path / "json"), "--workers", "2"]
    result = CliRunner().invoke(command, words)
    assert result.exit_code == 1 and "3 of 6 cells played, 3 failed" in result.stdout
    cells = {cell["seed"]: cell for cell in msgspec.json.decode((tmp_path / "json").read_bytes())["cells"]}
    assert list(cells) == seeds and all("result" in cells[seed] for seed in (1, 7, 2))
    assert cells[13]["failed"].startswith("ValueError: no such day at <object object at 0x...> (fake_world")
    assert cells[66]["failed"] == "the worker died of signal 9"
    assert cells[55]["failed"].startswith("ValueError: the figure service is nan")


def test_repeats_that_are_unlike_are_told_of(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(pool, "PLAYER", "fake_world:play_unlike")
    file = written(tmp_path, HEAD + "repeats = 2\n[factors]\nclients.load = [0.5]\n")
    result = CliRunner().invoke(command, [file, "--out", str(tmp_path / "out"), "--workers", "1"])
    assert result.exit_code == 1 and "0 failed, 6 unlike" in result.stdout
    assert "not the same as its first play: calm, clients.load = 0.5, here, seed 3, repeat 1" in result.stderr


# ---- revisions ---------------------------------------------------------------------------------


def git(root: Path, *words: str) -> str:
    return subprocess.run(
        ["git", "-C", str(root), "-c", "user.name=n", "-c", "user.email=e", *words],
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
    made = loaded(tmp_path, FACTORS + "clients.load = [0.5]\n")._replace(decisions=decisions[:2])
    records: list[bytes] = []
    trio.run(pool.run, made, made.cells(), 2, records.append)
    for record in (msgspec.json.decode(data, type=Outcome) for data in records):
        side = decisions[list(made.cells())[record.cell].revision]
        assert record.result is not None
        assert record.result.revision == f"{side.name} {side.id[:12]}"
        assert record.result.happened[0].what == f"decisions of {side.folder}/linnetspread/__init__.py"


def test_a_worker_with_other_decisions_plays_nothing(repository: Path, tmp_path: Path) -> None:
    old = revisions.find("old", repository, tmp_path / "cache")
    made = loaded(tmp_path, FACTORS + "clients.load = [0.5]\n")
    with pytest.raises(pool.WrongDecisions, match="has imported .* instead of old"):
        trio.run(pool.run, made._replace(decisions=(old._replace(folder=tmp_path),)), made.cells(), 1, print)


def test_a_cached_package_that_was_changed_is_fetched_again(repository: Path, tmp_path: Path) -> None:
    first = revisions.find("old", repository, tmp_path / "cache")
    (first.folder / "linnetspread" / "__init__.py").write_text("# changed\n")
    assert revisions.find("old", repository, tmp_path / "cache") == first
    assert (first.folder / "linnetspread" / "__init__.py").read_text() == "# old\n"


@pytest.mark.parametrize(
    "name, reason",
    [("none", "holds no linnetspread/"), ("nonesuch", "knows none of this"), ("--all", "knows none of this")],
)
def test_a_revision_that_is_not_there_is_refused(name: str, reason: str, repository: Path) -> None:
    with pytest.raises(revisions.BadRevision, match=f"^revision {name}: .*{reason}") as caught:
        revisions.find(name, repository, repository / "cache")
    assert caught.value.exit_code == 2


# ---- pairs -------------------------------------------------------------------------------------


def test_differences_between_revisions_and_levels_are_found_on_the_same_seeds(tmp_path: Path) -> None:
    made = loaded(tmp_path, LEVELS.replace("[3, 1, 2]", "20"))
    made = made._replace(decisions=(made.decisions[0], made.decisions[0]._replace(name="other")))
    noise = np.random.default_rng(1).normal(0, 100, 21)
    table = {
        (variant, revision, seed): {
            "up": noise[seed] + revision + variant % 2 * 10,
            "alike": noise[seed],
            "either": noise[seed] + (-1) ** seed * revision * (1 + seed % 3),
        }
        for variant in range(8)
        for revision in range(2)
        for seed in made.seeds
    }
    del table[0, 1, 5]
    found = list(compare.differences(made, table))
    by_revision = {
        (one.scenario, *one.levels.values(), one.figure): one for one in found if one.of == "revision"
    }
    one = by_revision["calm", "0.5", "2", "up"]
    assert (one.base, one.other, one.pairs, one.missing, one.higher) == ("here", "other", 19, 1, 19)
    assert one.mean == pytest.approx(1) and one.low == pytest.approx(1) and one.says == "higher"
    alike = by_revision["shrink", "0.25", "4", "alike"]
    assert (alike.equal, alike.low, alike.high, alike.says) == (20, 0, 0, "no difference shown")
    assert by_revision["calm", "0.5", "4", "either"].says == "no difference shown"
    assert by_revision["all", "all", "all", "up"].pairs == 19
    relays = [
        (one.scenario, one.levels, one.base, one.other, round(one.mean))
        for one in found
        if (one.of, one.figure, one.revision) == ("relays.count", "up", "here")
    ]
    assert relays == [
        (name, {"clients.load": load}, "2", "4", 10)
        for name in ("calm", "shrink")
        for load in ("0.5", "0.25")
    ]


def test_the_interval_is_that_of_t_for_normal_differences_and_none_for_five_pairs() -> None:
    values = np.random.default_rng(2).normal(5, 2, 12)
    low, high = compare.interval(values)
    half = compare.t_quantile(0.975, 11) * values.std(ddof=1) / np.sqrt(12)
    assert compare.t_quantile(0.975, 11) == pytest.approx(2.201, abs=1e-3)
    assert compare.t_quantile(0.975, 5) == pytest.approx(2.571, abs=4e-3)
    assert low == pytest.approx(values.mean() - half, abs=0.15 * half)
    assert high == pytest.approx(values.mean() + half, abs=0.15 * half)
    assert compare.interval(values) == (low, high)
    assert compare.interval(values[:5]) == (None, None)
