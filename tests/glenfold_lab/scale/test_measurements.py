"""Points, their file, and the line through them."""

import math
from pathlib import Path

import pytest

from glenfold_lab.scale.measurements import FORMAT, Machine, Point, Results, fit, spread


def points(*pairs: tuple[float, float]) -> list[Point]:
    return [Point("relay.memory", "kB", "connections", size, value) for size, value in pairs]


def test_a_straight_line_is_found_with_its_residuals_and_spread() -> None:
    line = fit(points((1, 12), (1, 14), (2, 23), (3, 33)))
    assert (line.slope, line.intercept) == pytest.approx((10, 3))
    assert line.worst_residual == pytest.approx(0)
    assert line.spread == pytest.approx(2 / 13)
    assert line.at(10) == pytest.approx(103)
    assert line.largest == 3


def test_a_curve_shows_in_the_residuals() -> None:
    assert fit(points((1, 1), (2, 4), (3, 9), (4, 16))).worst_residual > 0.2


def test_values_that_do_not_vary_have_a_slope_of_zero() -> None:
    """Processor time is read in ticks of 10 ms, so that three sizes often show the same value. Linear algebra
    in floats gave a slope of -1.4e-20 on one processor and -1.8e-20 on another, and the page of capacity,
    which prints it, differed between machines."""
    line = fit(points((200, 0.07), (1_024, 0.57 - 0.5), (10_240, 0.07)))
    assert 0.57 - 0.5 != 0.07  # as a difference of two readings
    assert (line.slope, line.intercept, line.worst_residual) == (0, 0.07, 0)


def test_coefficients_are_the_exact_ones_rounded_once() -> None:
    line = fit(points((1, 0.1), (2, 0.2), (3, 0.4)))
    assert (line.slope, line.intercept) == (0.15, -0.2 / 3)


def test_a_residual_from_a_median_of_zero_is_told_in_the_unit_of_the_values() -> None:
    line = fit(points((1, 0), (2, 0), (3, 3)))
    assert line.worst_residual == math.inf
    assert line.residual_at_zero == 1.0  # the line is 1.5 x - 2, and -0.5, 1 and 2.5 at these sizes


def test_repeats_that_differ_about_zero_have_an_infinite_spread() -> None:
    assert spread(points((1, -1), (1, 0), (1, 1))) == math.inf
    assert spread(points((1, 0), (1, 0))) == 0


def test_two_sizes_are_no_line() -> None:
    with pytest.raises(ValueError, match="three sizes"):
        fit(points((1, 1), (1, 2), (2, 2)))


def test_a_single_repeat_has_no_spread() -> None:
    assert spread(points((1, 5), (2, 9))) == 0


def test_results_come_back_from_their_file(tmp_path: Path) -> None:
    results = Results(
        "lists", "glenfold lab scale lists", "abc", Machine.here(), {"relays": 3}, points((1, 2))
    )
    results.save(tmp_path / "lists.json")
    assert Results.load(tmp_path / "lists.json") == results
    assert results.of("relay.memory") == points((1, 2))
    with pytest.raises(KeyError, match=r"no measurement of relay\.cpu"):
        results.of("relay.cpu")


def test_a_file_of_another_format_is_refused(tmp_path: Path) -> None:
    (tmp_path / "lists.json").write_text(f'{{"format": {FORMAT + 1}}}', "utf-8")
    with pytest.raises(ValueError, match=r"lists\.json: not a file of results"):
        Results.load(tmp_path / "lists.json")
