"""Mutants of the rules by which parents are followed: the tests of these rules must fail on each."""

from collections.abc import Callable
from typing import Any

import pytest
import test_parent_choice as choice
import test_succession as succession
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st

from glenfold.rules.parent_choice import ParentChoice
from glenfold.rules.replication import Position
from glenfold.rules.succession import Received, Succession, Verdict

rejection = Succession._rejection


def accept_any_whole_list(self: Succession, received: Received, position: Position) -> Verdict | None:
    return None if received.whole else rejection(self, received, position)


def accept_any_change(self: Succession, received: Received, position: Position) -> Verdict | None:
    verdict = rejection(self, received, position)
    return None if verdict is Verdict.INCOMPLETE else verdict


def compare_revisions_only(self: Succession, received: Received, position: Position) -> Verdict | None:
    if self.position is None or received.revision > self.position.revision:
        return None
    return Verdict.BEHIND


@given(succession.STEPS, st.just(succession.A))
@settings(
    max_examples=300,
    phases=[Phase.generate],
    report_multiple_bugs=False,
    suppress_health_check=list(HealthCheck),
)
def check_any_history(steps: list[tuple[Any, Any, Any]], at: tuple[str, int]) -> None:
    succession.check_history(steps, at)


def do_nothing(*given: Any) -> None:
    return None


@pytest.mark.parametrize(
    "name, mutant",
    [
        ("_rejection", accept_any_whole_list),
        ("_rejection", accept_any_change),
        ("_rejection", compare_revisions_only),
        ("_record_departure", do_nothing),
    ],
)
def test_a_mutant_of_the_succession_fails_its_tests(
    monkeypatch: pytest.MonkeyPatch, name: str, mutant: Callable[..., Any]
) -> None:
    monkeypatch.setattr(Succession, name, mutant)
    with pytest.raises(AssertionError):
        check_any_history()


def test_leaving_without_jitter_fails_the_tests(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(ParentChoice, "leave_delay_s", lambda self, children: 0.0)
    with pytest.raises(AssertionError):
        choice.test_250_children_of_a_dead_replica_leave_it_spread_out_and_in_time(0)


def test_jitter_beyond_the_deadline_fails_the_tests(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(ParentChoice, "leave_delay_s", lambda self, children: self.rng.uniform(0.0, 5.0))
    with pytest.raises(AssertionError):
        choice.test_250_children_of_a_dead_replica_leave_it_spread_out_and_in_time(0)
