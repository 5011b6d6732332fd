"""Points, their file, and the line through them."""

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
