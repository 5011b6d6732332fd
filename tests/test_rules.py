"""The four rules of the decisions, tested on the decision module alone."""

from dataclasses import replace

import pytest
from driver import REPEATABLE, SECOND, Gateway, attempts_in, final_answers, listed
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from linnetspread.interface import (
    Answer,
    ClientLeft,
    DedupScope,
    Existing,
    Fail,
    ListedServer,
    ListKind,
    Outcome,
    Refuse,
    Request,
    RequestClass,
    Semantics,
    ServerList,
    ServerState,
    SetTimer,
    Subscribe,
)

MAY_HAVE_RAN = [Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED, Outcome.UNKNOWN]
NEVER_RAN = [Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT]
ONCE = RequestClass(semantics=Semantics.ONCE)


def keyed(scope: DedupScope, window: int = 5 * SECOND) -> RequestClass:
    return RequestClass(semantics=Semantics.BY_KEY, scope=scope, window_us=window)


# ---- each request gets one final answer in time ----


@hypothesis_settings(derandomize=True, max_examples=60, deadline=None)
@given(st.lists(st.sampled_from(MAY_HAVE_RAN + NEVER_RAN), max_size=8), st.sampled_from(list(Semantics)))
def test_one_final_answer_whatever_the_outcomes(outcomes, semantics):
    kind = RequestClass(semantics=semantics, scope=DedupScope.ALL, window_us=5 * SECOND)
    gateway = Gateway(classes=(kind,))
    number, actions = gateway.request()
    given_answers = len(final_answers(actions))
    out = bool(attempts_in(actions))
    for outcome in outcomes:
        if not out:
            break
        gateway.now += 50_000
        actions = gateway.answer(number, outcome)
        assert len(attempts_in(actions)) <= 1 and not (attempts_in(actions) and final_answers(actions))
        out = bool(attempts_in(actions))
        given_answers += len(final_answers(actions))
    gateway.now = 10 * SECOND + 3 * SECOND - 1_000
    given_answers += len(final_answers(gateway.timer(number)))
    assert given_answers == 1
    assert not final_answers(gateway.timer(number))


def test_a_request_without_any_outcome_is_answered_by_its_timer_before_the_deadline():
    gateway = Gateway()
    number, actions = gateway.request()
    timer = next(action for action in actions if isinstance(action, SetTimer))
    assert timer.token == number and timer.delay_us < 3 * SECOND
    gateway.now += timer.delay_us
    assert len(final_answers(gateway.timer(timer.token))) == 1
    actions = gateway.answer(number, Outcome.TIMEOUT, done=True)
    assert not attempts_in(actions) and not final_answers(actions)


def test_an_attempt_leaves_room_for_another_before_the_deadline():
    gateway = Gateway()
    _, actions = gateway.request()
    assert attempts_in(actions)[0].timeout_us <= 3 * SECOND // 2


def test_no_more_attempts_than_allowed():
    gateway = Gateway(max_attempts=3, servers=8)
    number, actions = gateway.request()
    count = len(attempts_in(actions))
    while attempts_in(actions):
        actions = gateway.answer(number, Outcome.CONNECT_FAILED)
        count += len(attempts_in(actions))
    assert count <= 3 and len(final_answers(actions)) == 1


def test_nothing_is_answered_after_the_client_disconnected():
    gateway = Gateway()
    number, _ = gateway.request()
    assert not gateway.handle(ClientLeft(number))
    actions = gateway.answer(number, Outcome.CONNECT_FAILED, done=True)
    assert not attempts_in(actions) and not final_answers(actions)
    assert not gateway.timer(number)
    assert not gateway.balancer.connections


def test_an_outcome_of_an_unknown_request_is_ignored():
    gateway = Gateway()
    assert gateway.handle(Answer(999, 0, 100, Outcome.RESET)) == []
    assert gateway.handle(ClientLeft(999)) == []


# ---- no request takes effect twice ----


@pytest.mark.parametrize("outcome", MAY_HAVE_RAN)
def test_an_unsafe_request_that_may_have_run_is_failed_not_repeated(outcome):
    gateway = Gateway(classes=(ONCE,))
    number, _ = gateway.request()
    actions = gateway.answer(number, outcome)
    assert final_answers(actions) == [Fail(number)] and not attempts_in(actions)


@pytest.mark.parametrize("outcome", NEVER_RAN)
def test_an_unsafe_request_that_never_ran_may_be_repeated(outcome):
    gateway = Gateway(classes=(ONCE,))
    number, actions = gateway.request()
    first = attempts_in(actions)[0].server
    again = attempts_in(gateway.answer(number, outcome))
    assert len(again) == 1 and again[0].server != first


def test_an_unsafe_request_still_out_at_the_deadline_is_failed():
    gateway = Gateway(classes=(ONCE,))
    number, _ = gateway.request()
    assert gateway.timer(number) == [Fail(number)]


@pytest.mark.parametrize("outcome", MAY_HAVE_RAN)
@pytest.mark.parametrize("scope", [DedupScope.ZONE, DedupScope.CELL])
def test_a_keyed_request_stays_in_the_group_that_drops_its_repeats(outcome, scope):
    gateway = Gateway(servers=0, classes=(keyed(scope),))
    fleet = [listed(n, zone=n % 2, cell=n % 4) for n in range(100, 116)]
    gateway.servers(ListKind.FULL, *fleet)
    repeats = 0
    for _ in range(20):
        number, actions = gateway.request()
        first = attempts_in(actions)[0].server
        actions = gateway.answer(number, outcome)
        for action in attempts_in(actions):
            repeats += 1
            assert action.server % (2 if scope is DedupScope.ZONE else 4) == first % (
                2 if scope is DedupScope.ZONE else 4
            )
        assert all(isinstance(action, Fail) for action in final_answers(actions))
        gateway.now += 60 * SECOND
    assert repeats > 0


def test_a_keyed_request_is_not_repeated_once_its_servers_forget():
    gateway = Gateway(classes=(keyed(DedupScope.ALL, window=100_000),))
    number, _ = gateway.request()
    gateway.now += 100_000
    actions = gateway.answer(number, Outcome.TIMEOUT, elapsed=100_000)
    assert final_answers(actions) == [Refuse(number)] and not attempts_in(actions)
    number, _ = gateway.request()
    assert attempts_in(gateway.answer(number, Outcome.RESET, elapsed=10_000))


# Guards against a window that begins late, by the time for which the first answer was queued (incident 10).
@pytest.mark.parametrize("queued_us", [0, 40_000, 200_000])
def test_the_window_for_repeats_begins_with_the_first_attempt_however_late_its_answer_is_handled(queued_us):
    window_us, answered_after_us = 300_000, 100_000
    gateway = Gateway(classes=(keyed(DedupScope.ALL, window=window_us),))
    number, _ = gateway.request()
    first_at = gateway.now
    gateway.now += answered_after_us + queued_us
    actions = gateway.answer(number, Outcome.ERROR, elapsed=answered_after_us)
    assert all(action.send_by_us == first_at + window_us for action in attempts_in(actions))
    assert bool(attempts_in(actions)) == (answered_after_us + queued_us < window_us)


# ---- drains ----


@pytest.mark.parametrize("state", [ServerState.DRAINING, ServerState.GONE])
def test_nothing_goes_to_a_server_that_drains_or_was_removed(state):
    gateway = Gateway(servers=3)
    gateway.servers(ListKind.DELTA, listed(101, state))
    gateway.now += 5 * SECOND
    for _ in range(60):
        assert attempts_in(gateway.request()[1])[0].server != 101
        assert attempts_in(gateway.request(mid_flow=True)[1])[0].server != 101


def test_a_server_absent_from_a_full_list_is_removed():
    gateway = Gateway(servers=3)
    gateway.servers(ListKind.FULL, listed(100), listed(102))
    assert all(attempts_in(gateway.request()[1])[0].server != 101 for _ in range(60))


def test_a_waiting_retry_follows_the_list():
    gateway = Gateway(servers=2)
    number, actions = gateway.request()
    other = 201 - attempts_in(actions)[0].server
    gateway.servers(ListKind.DELTA, listed(other, ServerState.DRAINING))
    assert all(a.server != other for a in attempts_in(gateway.answer(number, Outcome.CONNECT_FAILED)))


# ---- edge cases ----


def test_no_ready_server_refuses_at_once():
    gateway = Gateway(servers=0)
    assert final_answers(gateway.request()[1])
    gateway.servers(ListKind.FULL)
    assert final_answers(gateway.request()[1])


def test_one_server_takes_everything():
    gateway = Gateway(servers=1)
    assert all(attempts_in(gateway.request()[1])[0].server == 100 for _ in range(20))


def test_all_servers_refusing_ends_in_a_refusal():
    gateway = Gateway(servers=4, max_attempts=10)
    number, actions = gateway.request()
    for _ in range(12):
        if not attempts_in(actions):
            break
        actions = gateway.answer(number, Outcome.FULL)
    assert isinstance(final_answers(actions)[0], Refuse)


def test_refusals_advise_a_wait_only_where_the_settings_allow_it():
    gateway = Gateway(servers=0, may_retry_after=True, max_retry_after_us=700_000)
    (refused,) = final_answers(gateway.request()[1])
    assert isinstance(refused, Refuse) and 700_000 // 3 <= refused.retry_after_us <= 700_000
    number, actions = Gateway(servers=0, max_retry_after_us=700_000).request()
    assert final_answers(actions) == [Refuse(number, 0)]


def test_a_request_with_an_unknown_class_or_tenant_is_placed():
    gateway = Gateway(classes=(REPEATABLE,))
    assert attempts_in(gateway.request(request_class=9, tenant=12)[1])


def test_an_existing_connection_is_kept_without_an_attempt_until_its_end():
    gateway = Gateway(servers=3)
    assert gateway.handle(Existing(Request(900, 0, key=5), 101)) == []
    assert 900 in gateway.balancer.servers[101].connections
    assert gateway.handle(Answer(900, 0, 101, Outcome.OK, done=True)) == []
    assert not gateway.balancer.servers[101].connections


def test_a_list_that_must_be_asked_for_is_subscribed_and_asked_again_after_a_failure():
    gateway = Gateway(servers=0, ask_for_list=True, ask_within_us=8 * SECOND)
    assert Subscribe(True) in gateway.servers(ListKind.CACHED, listed(100))
    actions = gateway.servers(ListKind.FAILED)
    timer = next(action for action in actions if isinstance(action, SetTimer))
    assert timer.delay_us < 8 * SECOND
    assert gateway.timer(timer.token) == [Subscribe(True)]
    # The previous list remains in force.
    assert attempts_in(gateway.request()[1])[0].server == 100


@pytest.mark.parametrize("change", [{}, {"may_send_copies": True}])
def test_at_most_one_attempt_is_out_at_a_time(change):
    gateway = Gateway(servers=6, **change)
    number, actions = gateway.request()
    assert len(attempts_in(actions)) == 1
    gateway.now += SECOND
    gateway.servers(ListKind.DELTA, listed(200))
    assert not attempts_in(gateway.timer(number + 1))
    assert len(attempts_in(gateway.answer(number, Outcome.CONNECT_FAILED))) <= 1


# ---- the budget of further attempts ----

BUDGET = {"spare_attempts": 2.0, "extra_per_request": 0.03, "look_back_us": 2 * SECOND, "max_attempts": 6}


class BudgetCheck:
    """Checks each further attempt against the requests and further attempts of the look-back, as the rule."""

    def __init__(self, **changes: object) -> None:
        self.gateway = Gateway(servers=8, **(BUDGET | changes))
        self.request_times: list[int] = []
        self.extra_attempt_times: list[int] = []
        self.requests_out: list[int] = []

    def check(self, number: int, actions: list) -> None:
        now, look_back = self.gateway.now, self.gateway.balancer.settings.look_back_us
        if attempts_in(actions):
            self.requests_out.append(number)
            if self.gateway.attempts[number]:
                self.extra_attempt_times.append(now)
                taken = sum(now - look_back < t for t in self.request_times)
                assert sum(now - look_back <= t for t in self.extra_attempt_times) <= 2 + 0.03 * taken

    def request(self, **fields: object) -> None:
        self.request_times.append(self.gateway.now)
        self.check(*self.gateway.request(**fields))

    def answer(self, outcome: Outcome) -> None:
        number = self.requests_out.pop(0)
        if outcome is Outcome.MOOT and self.gateway.attempts[number]:
            self.extra_attempt_times.pop()
        self.check(number, self.gateway.answer(number, outcome))


@hypothesis_settings(derandomize=True, max_examples=80, deadline=None)
@given(
    st.lists(
        st.tuples(st.integers(0, 700_000), st.sampled_from([None, *MAY_HAVE_RAN, *NEVER_RAN[:2]])),
        max_size=120,
    )
)
def test_further_attempts_stay_within_the_budget_over_every_span(steps):
    budget = BudgetCheck()
    for wait, outcome in steps:
        budget.gateway.now += wait
        if outcome is None or not budget.requests_out:
            budget.request()
        else:
            budget.answer(outcome)


def extras_of(gateway: Gateway, requests: int, outcome: Outcome = Outcome.CONNECT_FAILED) -> int:
    count = 0
    for _ in range(requests):
        number, actions = gateway.request()
        while attempts_in(actions):
            actions = gateway.answer(number, outcome)
            count += len(attempts_in(actions))
        # No request is kept waiting for the budget.
        assert final_answers(actions)
    return count


def test_the_budget_is_full_again_only_after_the_full_look_back():
    gateway = Gateway(servers=60, **BUDGET)
    assert extras_of(gateway, 5) == 2
    # The edge still belongs to the look-back.
    gateway.now += 2 * SECOND
    assert extras_of(gateway, 5) == 0
    gateway.now += 1
    assert extras_of(gateway, 5) == 2


def test_all_requests_raise_the_budget_refused_ones_too():
    gateway = Gateway(servers=0, **BUDGET)
    for _ in range(70):
        assert final_answers(gateway.request()[1])
    gateway.servers(ListKind.FULL, *(listed(n) for n in range(100, 108)))
    # The budget is 2 plus 0.03 times 71 to 80 requests.
    assert extras_of(gateway, 10) == 4


def test_further_attempts_are_unlimited_without_a_budget_and_none_with_a_budget_of_zero():
    assert extras_of(Gateway(servers=60, max_attempts=4), 5) == 15
    none = BUDGET | {"spare_attempts": 0.0, "extra_per_request": 0.0}
    assert extras_of(Gateway(servers=8, **none), 5) == 0


@pytest.mark.parametrize("look_back_us", [0, 2 * SECOND])
def test_times_older_than_the_look_back_are_dropped_even_while_all_requests_are_refused(look_back_us):
    gateway = Gateway(servers=0, **(BUDGET | {"look_back_us": look_back_us}))
    for _ in range(300):
        gateway.now += SECOND
        assert final_answers(gateway.request()[1])
    assert len(gateway.balancer.request_times) <= 3


def test_a_moot_attempt_does_not_count_against_the_budget():
    gateway = Gateway(servers=8, **BUDGET)
    number, _ = gateway.request()
    assert attempts_in(gateway.answer(number, Outcome.CONNECT_FAILED))
    gateway.answer(number, Outcome.MOOT, done=True)
    assert extras_of(gateway, 5) == 2


def test_the_last_attempt_of_the_budget_is_for_the_class_worth_most():
    low, high = replace(REPEATABLE, worth=1.0), replace(REPEATABLE, worth=5.0)
    gateway = Gateway(servers=8, classes=(low, high), **(BUDGET | {"spare_attempts": 1.0}))
    first, _ = gateway.request(request_class=0)
    second, _ = gateway.request(request_class=1)
    assert final_answers(gateway.answer(first, Outcome.CONNECT_FAILED))
    assert attempts_in(gateway.answer(second, Outcome.CONNECT_FAILED))


def test_without_a_further_attempt_the_only_one_gets_all_the_time():
    gateway = Gateway(servers=8, **(BUDGET | {"spare_attempts": 0.0}))
    assert attempts_in(gateway.request()[1])[0].timeout_us == 3 * SECOND


# ---- lists that arrive out of order ----


def handle_list(gateway: Gateway, kind: ListKind, number: int, *servers: ListedServer) -> None:
    gateway.handle(ServerList(kind, number, servers))


def servers_used(gateway: Gateway) -> set[int]:
    return {attempt.server for _ in range(80) for attempt in attempts_in(gateway.request()[1])}


def test_an_older_list_does_not_undo_a_newer_one():
    gateway = Gateway(servers=0)
    handle_list(gateway, ListKind.CACHED, 7, listed(100), listed(101))
    handle_list(gateway, ListKind.DELTA, 9, listed(101, ServerState.GONE))
    handle_list(gateway, ListKind.DELTA, 8, listed(101), listed(102))
    handle_list(gateway, ListKind.FULL, 6, listed(101))
    assert servers_used(gateway) == {100}
    # A list without a version is applied as it arrives.
    handle_list(gateway, ListKind.DELTA, 0, listed(102))
    assert servers_used(gateway) == {100, 102}


def test_duplicates_unknown_ids_and_an_empty_list_are_handled():
    gateway = Gateway(servers=0)
    handle_list(gateway, ListKind.CACHED, 1, listed(100), listed(101))
    for _ in range(2):
        handle_list(
            gateway, ListKind.DELTA, 2, listed(101, ServerState.DRAINING), listed(999, ServerState.GONE)
        )
    assert servers_used(gateway) == {100}
    handle_list(gateway, ListKind.FULL, 3)
    assert servers_used(gateway) == set() and not gateway.balancer.servers.keys() - {100, 101}
    handle_list(gateway, ListKind.FULL, 4, listed(100), listed(103))
    assert servers_used(gateway) == {100, 103}


def test_nothing_starts_at_a_draining_server_by_a_timer_a_late_outcome_or_a_retry():
    gateway = Gateway(servers=3)
    waiting = [gateway.request()[0] for _ in range(12)]
    gateway.servers(ListKind.DELTA, listed(100, ServerState.DRAINING), listed(101, ServerState.GONE))
    seen = []
    for number in waiting:
        seen += attempts_in(gateway.answer(number, Outcome.FULL)) + attempts_in(gateway.timer(number))
        seen += attempts_in(gateway.request(mid_flow=True)[1]) + attempts_in(
            gateway.request(returning=True)[1]
        )
    assert seen and {attempt.server for attempt in seen} == {102}
