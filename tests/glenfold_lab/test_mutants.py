"""Checks that the rules catch faulty relays and decisions, in the model and in records of stand-ins, and that
sound ones pass."""

import pytest

from glenfold_lab.checker import Checker
from glenfold_lab.model import world
from glenfold_lab.model.relays import CALL_UP, Relay
from glenfold_lab.observe import AttemptOutcome, End, Final, ListedState, Record, replay
from glenfold_lab.spec import Clients, Fault, Relays, RequestClass, Rules, Scenario, Servers
from glenfold_lab.stand_ins.reconciler import SLACK_US, Reconciler
from linnetspread import Balancer

SEED = 4


class AnswersTwice(Relay):
    def _answer(self, exchange, final, wait_us):
        super()._answer(exchange, final, wait_us)
        if exchange.event.request % 50 == 0:
            self._watcher.answered(self._kernel.now, exchange.event.request, final, exchange.state.server, 0)


class LosesRequests(Relay):
    def _answer(self, exchange, final, wait_us):
        if exchange.event.request % 50:
            super()._answer(exchange, final, wait_us)


class AnswersBeforeTheServer(Relay):
    def _start_call(self, exchange, server, deadline_us):
        super()._start_call(exchange, server, deadline_us)
        self._kernel.at(exchange.call.sent_at + 1, self._on, exchange, CALL_UP)


class SendsTwoAtOnce(Relay):
    def _start_call(self, exchange, server, deadline_us):
        super()._start_call(exchange, server, deadline_us)
        balancer = self.dispatch.balancer
        tried = balancer.connections[exchange.event.request].tried
        if tried == [server]:
            ready = [number for number, record in balancer.servers.items() if record.listed.ready]
            tried.append(ready[ready[0] == server])
            self._machines.call(self._new_call(exchange, tried[1], deadline_us))


class SendsAfterItsAnswer(Relay):
    def _answer(self, exchange, final, wait_us):
        super()._answer(exchange, final, wait_us)
        if final is Final.BUSY:
            again = next(
                number for number, record in self.dispatch.balancer.servers.items() if record.listed.ready
            )
            call = self._new_call(exchange, again, exchange.state.deadline_us)
            self.late = [*getattr(self, "late", []), call]
            self._kernel.after(1, self._machines.call, call)

    def terminate(self):
        # An open call would be checked against the list of the relay's next process.
        for call in getattr(self, "late", []):
            self._machines.close(call)
        return super().terminate()


class HeedsTheListLate(Relay):
    """Applies a list 2.1 s after its arrival."""

    def receive_list(self, servers):
        started = bool(self.dispatch.balancer.servers)
        self._kernel.after(2_100_000 if started else 0, super().receive_list, servers)


class CutsWithoutMove(Relay):
    def _move(self, exchange, why):
        self._drop_call(exchange)
        self._end(exchange, End.CUT, why)


class LeavesAtOnce(Relay):
    """Exits at once on SIGTERM, with all its connections."""

    def leave(self, over):
        self._kernel.after(0, over)
        return self._kernel.now


class IgnoresTheColdRamp(Balancer):
    def _is_warm_enough(self, connection, server, at_home):
        return True


COMMON = {
    "format": 1,
    "guards_against": "a checker that can't fail",
    "classes": (RequestClass(name="watch"),),
}
ROUGH = Scenario(
    **COMMON,
    name="rough",
    length_s=14.0,
    servers=Servers(count=10),
    relays=Relays(count=6, pass_through=False, restart_s=1.0),
    clients=Clients(life_s=5.0, load=0.35),
    faults=(
        Fault(kind="drain", at_s=1.0, part=0.5, over_s=8.0, len_s=0.0, replace=True),
        Fault(kind="relay_crash", at_s=6.0, part=0.2),
        Fault(kind="relay_restart", at_s=8.0, part=0.4, over_s=1.0),
    ),
)
COLD = Scenario(
    **COMMON,
    name="cold",
    length_s=10.0,
    servers=Servers(count=10),
    relays=Relays(count=20),
    clients=Clients(life_s=30.0, load=0.25, marks_returning=False),
    faults=(
        Fault(kind="start_servers", at_s=1.0, count=3),
        Fault(kind="reconnect", at_s=4.0, size=0.5, over_s=1.0),
    ),
)
RELAYS = [
    (AnswersTwice, "answer"),
    (LosesRequests, "answer"),
    (AnswersBeforeTheServer, "answer"),
    (SendsTwoAtOnce, "attempt"),
    (SendsAfterItsAnswer, "attempt"),
    (HeedsTheListLate, "drain"),
    (CutsWithoutMove, "move"),
    (LeavesAtOnce, "move"),
]


def broken_rules(scenario):
    return {verdict.rule for verdict in world.play(scenario, SEED).verdicts}


@pytest.mark.parametrize("scenario", [ROUGH, COLD], ids=lambda scenario: scenario.name)
def test_sound_relays_pass(scenario):
    assert broken_rules(scenario) == set()


@pytest.mark.parametrize(("mutant", "rule"), RELAYS, ids=lambda value: getattr(value, "__name__", value))
def test_a_relay_that_breaks_a_rule_is_caught(mutant, rule, monkeypatch):
    monkeypatch.setattr(world, "Relay", mutant)
    assert broken_rules(ROUGH) == {rule}


def test_decisions_that_ignore_the_cold_ramp_are_caught(monkeypatch):
    monkeypatch.setattr("glenfold.dispatch.Balancer", IgnoresTheColdRamp)
    assert broken_rules(COLD) == {"cold"}


# ---- records of stand-ins, checked with the time slack for sockets ----

S = 1_000_000
SERVER, STOOD, ASKED = 100, 1, 2
CONNECTION: list[Record] = [
    ("relay_up", (0, 0)),
    ("taken", (S, STOOD, 0, 4 * S, 0)),
    ("sent", (1_003_000, STOOD, 0, SERVER, 1_002_000)),
    ("attempt_over", (1_006_000, STOOD, SERVER, AttemptOutcome.UP)),
    ("answered", (1_007_000, STOOD, Final.UP, SERVER, 0)),
]
UNSENT = ("unsaid", (9 * S, STOOD))
STOPS = [("stopping", (8 * S, 0)), ("relay_down", (9 * S, 0))]


def request_records(sent: int, *answers: Record) -> list[Record]:
    return [
        ("taken", (sent - 2000, ASKED, 0, sent + 3 * S, 0)),
        ("sent", (sent + 500, ASKED, 0, SERVER, sent)),
        ("attempt_over", (sent + 900, ASKED, SERVER, AttemptOutcome.BUSY)),
        *answers,
    ]


def refused(sent: int, wait: int = 2000) -> Record:
    return "answered", (sent + wait, ASKED, Final.BUSY, None, 0)


DRAINS = ("due", (10 * S, 0, SERVER, ListedState.DRAINING, 0))
SOUND: dict[str, list[Record]] = {
    "its server broke it": [("broke", (8_100_000, STOOD, SERVER, False)), UNSENT],
    "its server fell silent": [("broke", (2 * S, STOOD, SERVER, True)), UNSENT],
    "moved before a planned restart": [("ended", (8_500_000, STOOD, End.MOVED)), *STOPS],
    "its relay was killed": [("relay_down", (8_999_000, 0)), UNSENT],
    "sent just after a drain was due": [DRAINS, *request_records(12_040_000, refused(12_040_000))],
    "answered just in time": request_records(10 * S, refused(10 * S, 3_090_000)),
}
BROKEN: dict[str, tuple[str, list[Record]]] = {
    "cut": ("move", [UNSENT]),
    "its server's end passed on late": ("move", [("broke", (7_900_000, STOOD, SERVER, False)), UNSENT]),
    "its server's end never passed on": ("move", [("broke", (2 * S, STOOD, SERVER, True))]),
    "cut by a planned restart": ("move", [UNSENT, *STOPS]),
    "closed before its relay was killed": (
        "answer",
        [
            *request_records(8_990_000, ("answered", (8_998_000, ASKED, Final.CLOSED, None, 0))),
            ("relay_down", (9 * S, 0)),
            ("ended", (9 * S, STOOD, End.RELAY_DIED)),
        ],
    ),
    "sent long after a drain was due": ("drain", [DRAINS, *request_records(12_100_000, refused(12_100_000))]),
    "answered late": ("answer", request_records(10 * S, refused(10 * S, 3_110_000))),
}


def judge_records(more: list[Record]) -> list[str]:
    reconciler, checker = Reconciler(1, [SERVER], pass_through=False), Checker(Rules(), SLACK_US)
    replay(reconciler.reconcile([*CONNECTION, *more], 20 * S), checker)
    checker.finish(20 * S)
    return [verdict.rule for verdict in checker.verdicts()]


@pytest.mark.parametrize("name", SOUND)
def test_stand_in_records_of_a_sound_relay_pass(name):
    assert judge_records(SOUND[name]) == []


@pytest.mark.parametrize("name", BROKEN)
def test_a_violation_in_stand_in_records_is_caught(name):
    rule, more = BROKEN[name]
    assert judge_records(more) == [rule]
