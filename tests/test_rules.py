"""The four rules, with the module driven alone."""

from dataclasses import replace

import pytest
from driver import REPEATABLE, SECOND, Gateway, finals, listed, sends
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

MAYBE_RAN = [Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED, Outcome.UNKNOWN]
NEVER_RAN = [Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT]
ONCE = RequestClass(semantics=Semantics.ONCE)


def keyed(scope: DedupScope, window: int = 5 * SECOND) -> RequestClass:
    return RequestClass(semantics=Semantics.BY_KEY, scope=scope, window_us=window)


# ---- one final answer, in time ----


@hypothesis_settings(derandomize=True, max_examples=60, deadline=None)
@given(st.lists(st.sampled_from(MAYBE_RAN + NEVER_RAN), max_size=8), st.sampled_from(list(Semantics)))
def test_one_final_answer_whatever_the_outcomes(outcomes, semantics):
    kind = RequestClass(semantics=semantics, scope=DedupScope.ALL, window_us=5 * SECOND)
    gateway = Gateway(classes=(kind,))
    number, actions = gateway.ask()
    given_answers = len(finals(actions))
    out = bool(sends(actions))
    for outcome in outcomes:
        if not out:
            break
        gateway.now += 50_000
        actions = gateway.answer(number, outcome)
        assert len(sends(actions)) <= 1 and not (sends(actions) and finals(actions))
        out = bool(sends(actions))
        given_answers += len(finals(actions))
    gateway.now = 10 * SECOND + 3 * SECOND - 1_000
    given_answers += len(finals(gateway.timer(number)))
    assert given_answers == 1
    assert not finals(gateway.timer(number))


def test_a_request_without_any_outcome_is_answered_by_its_timer_before_the_deadline():
    gateway = Gateway()
    number, actions = gateway.ask()
    timer = next(action for action in actions if isinstance(action, SetTimer))
    assert timer.token == number and timer.delay_us < 3 * SECOND
    gateway.now += timer.delay_us
    assert len(finals(gateway.timer(timer.token))) == 1
    actions = gateway.answer(number, Outcome.TIMEOUT, done=True)
    assert not sends(actions) and not finals(actions)


def test_an_attempt_leaves_room_for_another_before_the_deadline():
    gateway = Gateway()
    _, actions = gateway.ask()
    assert sends(actions)[0].timeout_us <= 3 * SECOND // 2


def test_no_more_attempts_than_allowed():
    gateway = Gateway(max_attempts=3, servers=8)
    number, actions = gateway.ask()
    count = len(sends(actions))
    while sends(actions):
        actions = gateway.answer(number, Outcome.CONNECT_FAILED)
        count += len(sends(actions))
    assert count <= 3 and len(finals(actions)) == 1


def test_nothing_is_owed_once_the_client_left():
    gateway = Gateway()
    number, _ = gateway.ask()
    assert not gateway.give(ClientLeft(number))
    actions = gateway.answer(number, Outcome.CONNECT_FAILED, done=True)
    assert not sends(actions) and not finals(actions)
    assert not gateway.timer(number)
    assert not gateway.balancer.connections


def test_an_outcome_for_a_request_not_held_is_passed_over():
    gateway = Gateway()
    assert gateway.give(Answer(999, 0, 100, Outcome.RESET)) == []
    assert gateway.give(ClientLeft(999)) == []


# ---- no effect twice ----


@pytest.mark.parametrize("outcome", MAYBE_RAN)
def test_an_unsafe_request_that_may_have_run_is_failed_not_repeated(outcome):
    gateway = Gateway(classes=(ONCE,))
    number, _ = gateway.ask()
    actions = gateway.answer(number, outcome)
    assert finals(actions) == [Fail(number)] and not sends(actions)


@pytest.mark.parametrize("outcome", NEVER_RAN)
def test_an_unsafe_request_that_never_ran_may_be_repeated(outcome):
    gateway = Gateway(classes=(ONCE,))
    number, actions = gateway.ask()
    first = sends(actions)[0].server
    again = sends(gateway.answer(number, outcome))
    assert len(again) == 1 and again[0].server != first


def test_an_unsafe_request_still_out_at_the_deadline_is_failed():
    gateway = Gateway(classes=(ONCE,))
    number, _ = gateway.ask()
    assert gateway.timer(number) == [Fail(number)]


@pytest.mark.parametrize("outcome", MAYBE_RAN)
@pytest.mark.parametrize("scope", [DedupScope.ZONE, DedupScope.CELL])
def test_a_keyed_request_stays_in_the_group_that_drops_its_repeats(outcome, scope):
    gateway = Gateway(servers=0, classes=(keyed(scope),))
    fleet = [listed(n, zone=n % 2, cell=n % 4) for n in range(100, 116)]
    gateway.servers(ListKind.FULL, *fleet)
    repeats = 0
    for _ in range(20):
        number, actions = gateway.ask()
        first = sends(actions)[0].server
        actions = gateway.answer(number, outcome)
        for action in sends(actions):
            repeats += 1
            assert action.server % (2 if scope is DedupScope.ZONE else 4) == first % (
                2 if scope is DedupScope.ZONE else 4
            )
        assert all(isinstance(action, Fail) for action in finals(actions))
        gateway.now += 60 * SECOND
    assert repeats > 0


def test_a_keyed_request_is_not_repeated_once_its_servers_forget():
    gateway = Gateway(classes=(keyed(DedupScope.ALL, window=100_000),))
    number, _ = gateway.ask()
    gateway.now += 100_000
    actions = gateway.answer(number, Outcome.TIMEOUT, elapsed=100_000)
    assert finals(actions) == [Refuse(number)] and not sends(actions)
    number, _ = gateway.ask()
    assert sends(gateway.answer(number, Outcome.RESET, elapsed=10_000))


# ---- drains ----


@pytest.mark.parametrize("state", [ServerState.DRAINING, ServerState.GONE])
def test_nothing_goes_to_a_server_that_drains_or_is_gone(state):
    gateway = Gateway(servers=3)
    gateway.servers(ListKind.DELTA, listed(101, state))
    gateway.now += 5 * SECOND
    for _ in range(60):
        assert sends(gateway.ask()[1])[0].server != 101
        assert sends(gateway.ask(mid_flow=True)[1])[0].server != 101


def test_a_server_absent_from_a_full_list_is_gone():
    gateway = Gateway(servers=3)
    gateway.servers(ListKind.FULL, listed(100), listed(102))
    assert all(sends(gateway.ask()[1])[0].server != 101 for _ in range(60))


def test_a_waiting_retry_follows_the_list():
    gateway = Gateway(servers=2)
    number, actions = gateway.ask()
    other = 201 - sends(actions)[0].server
    gateway.servers(ListKind.DELTA, listed(other, ServerState.DRAINING))
    assert all(a.server != other for a in sends(gateway.answer(number, Outcome.CONNECT_FAILED)))


# ---- edges ----


def test_no_ready_server_refuses_at_once():
    gateway = Gateway(servers=0)
    assert finals(gateway.ask()[1])
    gateway.servers(ListKind.FULL)
    assert finals(gateway.ask()[1])


def test_one_server_takes_everything():
    gateway = Gateway(servers=1)
    assert all(sends(gateway.ask()[1])[0].server == 100 for _ in range(20))


def test_all_servers_refusing_ends_in_a_refusal():
    gateway = Gateway(servers=4, max_attempts=10)
    number, actions = gateway.ask()
    for _ in range(12):
        if not sends(actions):
            break
        actions = gateway.answer(number, Outcome.FULL)
    assert isinstance(finals(actions)[0], Refuse)


def test_refusals_advise_a_wait_only_where_clients_are_told():
    told = Gateway(servers=0, may_retry_after=True, max_retry_after_us=700_000)
    (refused,) = finals(told.ask()[1])
    assert isinstance(refused, Refuse) and 700_000 // 3 <= refused.retry_after_us <= 700_000
    number, actions = Gateway(servers=0, max_retry_after_us=700_000).ask()
    assert finals(actions) == [Refuse(number, 0)]


def test_a_missing_class_or_tenant_number_is_survived():
    gateway = Gateway(classes=(REPEATABLE,))
    assert sends(gateway.ask(request_class=9, tenant=12)[1])


def test_a_connection_open_at_the_start_is_held_without_a_send_until_its_end():
    gateway = Gateway(servers=3)
    assert gateway.give(Existing(Request(900, 0, key=5), 101)) == []
    assert 900 in gateway.balancer.servers[101].connections
    assert gateway.give(Answer(900, 0, 101, Outcome.OK, done=True)) == []
    assert not gateway.balancer.servers[101].connections


def test_a_list_that_must_be_asked_for_is_subscribed_and_asked_again_after_a_failure():
    gateway = Gateway(servers=0, ask_for_list=True, ask_within_us=8 * SECOND)
    assert Subscribe(True) in gateway.servers(ListKind.CACHED, listed(100))
    actions = gateway.servers(ListKind.FAILED)
    timer = next(action for action in actions if isinstance(action, SetTimer))
    assert timer.delay_us < 8 * SECOND
    assert gateway.timer(timer.token) == [Subscribe(True)]
    assert sends(gateway.ask()[1])[0].server == 100  # the list of before remains


@pytest.mark.parametrize("change", [{}, {"may_send_copies": True}])
def test_never_two_attempts_out_together(change):
    gateway = Gateway(servers=6, **change)
    number, actions = gateway.ask()
    assert len(sends(actions)) == 1
    gateway.now += SECOND
    gateway.servers(ListKind.DELTA, listed(200))
    assert not sends(gateway.timer(number + 1))
    assert len(sends(gateway.answer(number, Outcome.CONNECT_FAILED))) <= 1


# ---- rationed further attempts ----

RATION = {"spare_attempts": 2.0, "extra_per_request": 0.03, "look_back_us": 2 * SECOND, "max_attempts": 6}


class Ration:
    """Counts as the rule does: at each further attempt, those of the span against what was taken in it."""

    def __init__(self, **changes: object) -> None:
        self.gateway = Gateway(servers=8, **(RATION | changes))
        self.taken: list[int] = []
        self.extras: list[int] = []
        self.out: list[int] = []

    def see(self, number: int, actions: list) -> None:
        now, back = self.gateway.now, self.gateway.balancer.settings.look_back_us
        if sends(actions):
            self.out.append(number)
            if self.gateway.attempts[number]:
                self.extras.append(now)
                taken = sum(now - back < t for t in self.taken)
                assert sum(now - back <= t for t in self.extras) <= 2 + 0.03 * taken

    def ask(self, **more: object) -> None:
        self.taken.append(self.gateway.now)
        self.see(*self.gateway.ask(**more))

    def answer(self, outcome: Outcome) -> None:
        number = self.out.pop(0)
        if outcome is Outcome.MOOT and self.gateway.attempts[number]:
            self.extras.pop()
        self.see(number, self.gateway.answer(number, outcome))


@hypothesis_settings(derandomize=True, max_examples=80, deadline=None)
@given(
    st.lists(
        st.tuples(st.integers(0, 700_000), st.sampled_from([None, *MAYBE_RAN, *NEVER_RAN[:2]])), max_size=120
    )
)
def test_further_attempts_stay_within_the_ration_over_every_span(steps):
    ration = Ration()
    for wait, outcome in steps:
        ration.gateway.now += wait
        if outcome is None or not ration.out:
            ration.ask()
        else:
            ration.answer(outcome)


def extras_of(gateway: Gateway, requests: int, outcome: Outcome = Outcome.CONNECT_FAILED) -> int:
    count = 0
    for _ in range(requests):
        number, actions = gateway.ask()
        while sends(actions):
            actions = gateway.answer(number, outcome)
            count += len(sends(actions))
        assert finals(actions)  # never left waiting for the ration
    return count


def test_the_ration_is_full_again_only_after_the_whole_look_back():
    gateway = Gateway(servers=60, **RATION)
    assert extras_of(gateway, 5) == 2
    gateway.now += 2 * SECOND  # the edge still belongs to the span
    assert extras_of(gateway, 5) == 0
    gateway.now += 1
    assert extras_of(gateway, 5) == 2


def test_traffic_raises_the_ration_refused_requests_too():
    gateway = Gateway(servers=0, **RATION)
    for _ in range(70):
        assert finals(gateway.ask()[1])
    gateway.servers(ListKind.FULL, *(listed(n) for n in range(100, 108)))
    assert extras_of(gateway, 10) == 4  # 2 and 0.03 x 71 to 0.03 x 80


def test_no_ration_where_none_is_stated_and_none_at_all_where_it_is_zero():
    assert extras_of(Gateway(servers=60, max_attempts=4), 5) == 15
    none = RATION | {"spare_attempts": 0.0, "extra_per_request": 0.0}
    assert extras_of(Gateway(servers=8, **none), 5) == 0


@pytest.mark.parametrize("back", [0, 2 * SECOND])
def test_what_the_look_back_has_left_behind_is_forgotten_also_while_all_is_refused(back):
    gateway = Gateway(servers=0, **(RATION | {"look_back_us": back}))
    for _ in range(300):
        gateway.now += SECOND
        assert finals(gateway.ask()[1])
    assert len(gateway.balancer.request_times) <= 3


def test_a_moot_attempt_is_given_back():
    gateway = Gateway(servers=8, **RATION)
    number, _ = gateway.ask()
    assert sends(gateway.answer(number, Outcome.CONNECT_FAILED))
    gateway.answer(number, Outcome.MOOT, done=True)
    assert extras_of(gateway, 5) == 2


def test_the_last_of_the_ration_is_for_what_is_worth_most():
    low, high = replace(REPEATABLE, worth=1.0), replace(REPEATABLE, worth=5.0)
    gateway = Gateway(servers=8, classes=(low, high), **(RATION | {"spare_attempts": 1.0}))
    first, _ = gateway.ask(request_class=0)
    second, _ = gateway.ask(request_class=1)
    assert finals(gateway.answer(first, Outcome.CONNECT_FAILED))
    assert sends(gateway.answer(second, Outcome.CONNECT_FAILED))


def test_without_a_further_attempt_the_one_sent_gets_all_the_time():
    gateway = Gateway(servers=8, **(RATION | {"spare_attempts": 0.0}))
    assert sends(gateway.ask()[1])[0].timeout_us == 3 * SECOND


# ---- lists in the wrong order ----


def version(gateway: Gateway, kind: ListKind, number: int, *servers: ListedServer) -> None:
    gateway.give(ServerList(kind, number, servers))


def used(gateway: Gateway) -> set[int]:
    return {attempt.server for _ in range(80) for attempt in sends(gateway.ask()[1])}


def test_an_older_list_does_not_undo_a_newer_one():
    gateway = Gateway(servers=0)
    version(gateway, ListKind.CACHED, 7, listed(100), listed(101))
    version(gateway, ListKind.DELTA, 9, listed(101, ServerState.GONE))
    version(gateway, ListKind.DELTA, 8, listed(101), listed(102))
    version(gateway, ListKind.FULL, 6, listed(101))
    assert used(gateway) == {100}
    version(gateway, ListKind.DELTA, 0, listed(102))  # no version told: taken as it comes
    assert used(gateway) == {100, 102}


def test_duplicates_unknown_ids_and_an_empty_list_are_survived():
    gateway = Gateway(servers=0)
    version(gateway, ListKind.CACHED, 1, listed(100), listed(101))
    for _ in range(2):
        version(gateway, ListKind.DELTA, 2, listed(101, ServerState.DRAINING), listed(999, ServerState.GONE))
    assert used(gateway) == {100}
    version(gateway, ListKind.FULL, 3)
    assert used(gateway) == set() and not gateway.balancer.servers.keys() - {100, 101}
    version(gateway, ListKind.FULL, 4, listed(100), listed(103))
    assert used(gateway) == {100, 103}


def test_nothing_starts_at_a_draining_server_by_a_timer_a_late_outcome_or_a_retry():
    gateway = Gateway(servers=3)
    waiting = [gateway.ask()[0] for _ in range(12)]
    gateway.servers(ListKind.DELTA, listed(100, ServerState.DRAINING), listed(101, ServerState.GONE))
    seen = []
    for number in waiting:
        seen += sends(gateway.answer(number, Outcome.FULL)) + sends(gateway.timer(number))
        seen += sends(gateway.ask(mid_flow=True)[1]) + sends(gateway.ask(returning=True)[1])
    assert seen and {attempt.server for attempt in seen} == {102}
