"""Tests of the measures of what clients got."""

from glenfold_lab.measures import FORGET_AFTER_US, Measures
from glenfold_lab.observe import End, Final
from glenfold_lab.results import Series

S = 1_000_000
START = 1000 * S


def test_set_up_time_counts_from_the_first_request_over_all_tries():
    measures = Measures(("chat", "feed"), START)
    for number, final in ((1, Final.BUSY), (2, Final.UP)):
        measures.asked(START + number * S, number, 7, 1, START + S)
        measures.taken(START + number * S + 100, number, 0, START + 5 * S, 1)
        measures.answered(START + number * S + 1000, number, final, None, 0)
    assert measures.answers() == {"up": 1, "busy": 1, "error": 0, "closed": 0, "left": 0}
    assert list(measures.set_up()) == ["feed"]
    distribution = measures.set_up()["feed"]
    assert distribution.count == 1 and all(
        abs(value - (S + 1000)) < 1000 for value in distribution.quantiles.values()
    )


def test_the_warm_up_counts_only_in_series():
    measures = Measures(("chat",), START, START + 2 * S, step_us=S // 2)
    for number, at in enumerate((0, 1_900_000, 2 * S, 2_100_000)):
        measures.asked(START + at, number, number, 0, START + at)
        measures.sent(START + at, number, 0, 100, START + at)
        measures.answered(START + at, number, Final.BUSY, None, 0)
        measures.ended(START + at, number, End.MOVED)
    measures.finish(START + 3 * S)
    assert measures.answers()["busy"] == 2 and measures.figures()["moves"] == 2
    assert measures.series()["refused"].values == (2.0, 0.0, 0.0, 2.0, 4.0, 0.0)
    assert measures.series()["attempts"] == Series(
        S // 2, (2.0, 0.0, 0.0, 2.0, 4.0, 0.0), "attempts a second"
    )


def test_an_unanswered_try_is_forgotten_after_a_time():
    measures = Measures(("chat",), START)
    for number in range(5):
        measures.asked(START + number * FORGET_AFTER_US, number, number, 0, START)
    assert len(measures._open) + len(measures._previous) == 2
    measures.answered(
        START + 5 * FORGET_AFTER_US, 3, Final.UP, 100, 0
    )  # The try of the period before is still kept.
    measures.answered(START + 5 * FORGET_AFTER_US, 0, Final.UP, 100, 0)
    assert measures.set_up()["chat"].count == 1 and measures.answers()["up"] == 2
