"""Capacity: estimates keep their basis, and the page is what the results give."""

import os
import subprocess
import sys
from dataclasses import replace
from pathlib import Path

import pytest
from click.testing import CliRunner

from glenfold_lab.scale.capacity.context import Context
from glenfold_lab.scale.capacity.estimates import Estimate, rounded
from glenfold_lab.scale.capacity.page import load, moved_verdicts, page
from glenfold_lab.scale.capacity.sizes import Sizes
from glenfold_lab.scale.capacity.slopes import NotMeasured, Slopes
from glenfold_lab.scale.capacity.verdicts import Line, judged, topic_share, verdicts
from glenfold_lab.scale.capacity_command import command
from glenfold_lab.scale.measurements import Machine, Point, Results

ROOT = Path(__file__).parents[3]
RESULTS = ROOT / "benchmarks" / "scale"
PAGE = ROOT / "docs" / "CAPACITY.md"
MACHINE = Machine("none", 1, "3.11", 0.0)


def results(*points: Point) -> Results:
    return Results("made", "glenfold lab scale made", "none", MACHINE, points=list(points))


def line_through(quantity: str, slope: float) -> list[Point]:
    return [Point(quantity, "kB", "servers", size, slope * size) for size in (100, 200, 400)]


def test_an_estimate_remembers_what_it_rests_on() -> None:
    measured = Estimate(3.0, measured=frozenset({"a"}), extrapolation=2.0)
    assumed = Estimate(4.0, assumed=frozenset({"life"}))
    found = 2 * measured + assumed
    assert found.value == 10
    assert (found.measured, found.assumed, found.extrapolation) == ({"a"}, {"life"}, 2.0)
    assert (1.0 / assumed).value == 0.25


@pytest.mark.parametrize(
    ("value", "words"),
    [
        (0, "0"),
        (0.0123, "0.0123"),
        (0.00001234, "0.000012"),
        (12345, "12,300"),
        (61764.7, "61,800"),
        (1.5, "1.5"),
    ],
)
def test_figures_have_three_digits(value: float, words: str) -> None:
    assert rounded(value) == words


def test_a_size_beyond_the_largest_measured_is_told() -> None:
    slopes = Slopes([results(*line_through("list.bytes", 0.15))])
    assert slopes.at("list.bytes", 200).extrapolation <= 1
    far = slopes.at("list.bytes", 4000)
    assert far.value == pytest.approx(600)
    assert far.extrapolation == pytest.approx(10)


def test_between_sizes_neighbours_count_and_beyond_them_the_line() -> None:
    bent = [
        Point("list.cpu", "ms", "servers", size, value) for size, value in ((100, 10), (200, 10), (300, 40))
    ]
    slopes = Slopes([results(*bent)])
    assert slopes.at("list.cpu", 250).value == pytest.approx(25)
    assert slopes.at("list.cpu", 50).value == pytest.approx(5)  # the line starts below 0
    assert slopes.at("list.cpu", 400).value == pytest.approx(50)


def test_the_largest_size_within_a_bound_is_one_that_was_measured() -> None:
    late = [Point("relay.delivery.p99", "ms", "deliveries_per_s", size, size / 10) for size in (1000, 2000)]
    slopes = Slopes([results(*late)])
    assert slopes.largest_within("relay.delivery.p99", 130).value == 1000
    assert slopes.largest_within("relay.delivery.p99", 50).value == 0


def test_what_was_not_measured_is_unknown_and_never_carried() -> None:
    sizes = Sizes.load(RESULTS / "sizes.toml")
    nothing = Context(sizes.target, sizes, Slopes([]))
    assert {verdict.words for verdict in verdicts(nothing)} == {"unknown"}
    with pytest.raises(NotMeasured, match=r"list\.bytes"):
        nothing.list_bytes()


def test_one_quantity_of_two_runs_is_refused() -> None:
    one = results(*line_through("list.bytes", 1))
    with pytest.raises(ValueError, match="stands in made and in other"):
        Slopes([one, replace(one, run="other")])


@pytest.mark.parametrize(
    ("share", "words"), [(0.25, "not carried, up to 25 %"), (1.0, "carried"), (7.0, "carried")]
)
def test_a_verdict_says_at_what_part_it_breaks(share: float, words: str) -> None:
    sizes, slopes = load(RESULTS)
    line = Line("all", "something", lambda _: Estimate(share), "more")
    assert judged(line, Context(sizes.target, sizes, slopes)).words == words


def test_a_verdict_that_rests_on_an_assumption_says_so_and_moves_with_it() -> None:
    sizes, slopes = load(RESULTS)
    verdict = judged(Line("topic", "", topic_share, ""), Context(sizes.target, sizes, slopes))
    assert verdict.words.endswith("by assumption")
    assert any(
        "largest topic" in moved
        for moved in moved_verdicts("server_connections_over_mean", 16, sizes, slopes)
    )


def test_a_steeper_slope_changes_the_page_and_fails_the_check(tmp_path: Path) -> None:
    for file in RESULTS.iterdir():
        (tmp_path / file.name).write_bytes(file.read_bytes())
    written = tmp_path / "CAPACITY.md"
    words = ["--results", str(tmp_path), "--page", str(written)]
    assert CliRunner().invoke(command, words).exit_code == 0
    assert CliRunner().invoke(command, [*words, "--check"]).exit_code == 0
    topics = Results.load(tmp_path / "topics.json")
    topics.points = [replace(point, value=2 * point.value) for point in topics.points]
    topics.save(tmp_path / "topics.json")
    failed = CliRunner().invoke(command, [*words, "--check"])
    assert failed.exit_code == 1
    assert "topic.busiest_over_mean" in failed.output


def test_the_page_in_the_repository_is_what_the_results_give() -> None:
    assert PAGE.read_text("utf-8") == page(*load(RESULTS))


@pytest.mark.parametrize("kernel", ["HASWELL", "SKYLAKEX", "NEHALEM"])
def test_the_page_is_the_same_under_each_kernel_of_linear_algebra(kernel: str) -> None:
    """The page was the same text on some processors only: least squares came from numpy's linear algebra,
    whose kernel is chosen by the processor, and the rounding noise of each kernel was printed as a slope
    (-1.415e-20 under HASWELL, -1.753e-20 under SKYLAKEX). The exact line has no such noise."""
    check = [sys.executable, "-m", "glenfold", "lab", "scale", "capacity", "--check"]
    done = subprocess.run(
        check, cwd=ROOT, env=os.environ | {"OPENBLAS_CORETYPE": kernel}, capture_output=True, text=True
    )
    assert done.returncode == 0, done.stdout + done.stderr
