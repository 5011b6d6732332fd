"""Relays and decisions that break a rule, in the model: each is caught, and sound ones pass there."""

import pytest

from glenfold_lab.model import world
from glenfold_lab.model.relays import CALL_UP, Relay
from glenfold_lab.observe import End, Final
from glenfold_lab.spec import Clients, Fault, Relays, RequestClass, Scenario, Servers
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
        tried = balancer.held[exchange.event.request].tried
        if tried == [server]:
            ready = [number for number, one in balancer.servers.items() if one.ready]
            tried.append(ready[ready[0] == server])
            self._machines.call(self._new_call(exchange, tried[1], deadline_us))


class SendsAfterItsAnswer(Relay):
    def _answer(self, exchange, final, wait_us):
        super()._answer(exchange, final, wait_us)
        if final is Final.BUSY:
            again = next(number for number, one in self.dispatch.balancer.servers.items() if one.ready)
            call = self._new_call(exchange, again, exchange.state.deadline_us)
            self._kernel.after(1, self._machines.call, call)


class HeedsTheListLate(Relay):
    """2.1 s after it was told."""

    def heard(self, servers):
        started = bool(self.dispatch.balancer.servers)
        self._kernel.after(2_100_000 if started else 0, super().heard, servers)


class CutsWithoutMove(Relay):
    def _move(self, exchange, why):
        self._drop_call(exchange)
        self._end(exchange, End.CUT, why)


class LeavesAtOnce(Relay):
    """When it is told to stop, with all that it holds."""

    def leave(self, over):
        self._kernel.after(0, over)
        return self._kernel.now


class IgnoresTheColdRamp(Balancer):
    def _warm_enough(self, held, known, at_home):
        return True


TERMS = {"format": 1, "guards_against": "a checker that can't fail", "classes": (RequestClass(name="watch"),)}
ROUGH = Scenario(
    **TERMS, name="rough", length_s=14.0, servers=Servers(count=10),
    relays=Relays(count=6, pass_through=False, restart_s=1.0), clients=Clients(life_s=5.0, load=0.35),
    faults=(Fault(kind="drain", at_s=1.0, part=0.5, over_s=8.0, len_s=0.0, replace=True),
            Fault(kind="relay_crash", at_s=6.0, part=0.2),
            Fault(kind="relay_restart", at_s=8.0, part=0.4, over_s=1.0)))
COLD = Scenario(
    **TERMS, name="cold", length_s=10.0, servers=Servers(count=10), relays=Relays(count=20),
    clients=Clients(life_s=30.0, load=0.25, marks_returning=False),
    faults=(Fault(kind="start_servers", at_s=1.0, count=3),
            Fault(kind="reconnect", at_s=4.0, size=0.5, over_s=1.0)))
RELAYS = [(AnswersTwice, "answer"), (LosesRequests, "answer"), (AnswersBeforeTheServer, "answer"),
          (SendsTwoAtOnce, "attempt"), (SendsAfterItsAnswer, "attempt"), (HeedsTheListLate, "drain"),
          (CutsWithoutMove, "move"), (LeavesAtOnce, "move")]


def rules(scenario):
    return {verdict.rule for verdict in world.play(scenario, SEED).verdicts}


@pytest.mark.parametrize("scenario", [ROUGH, COLD], ids=lambda scenario: scenario.name)
def test_sound_relays_pass(scenario):
    assert rules(scenario) == set()


@pytest.mark.parametrize(("mutant", "rule"), RELAYS, ids=lambda value: getattr(value, "__name__", value))
def test_a_relay_that_breaks_a_rule_is_caught(mutant, rule, monkeypatch):
    monkeypatch.setattr(world, "Relay", mutant)
    assert rules(ROUGH) == {rule}


def test_decisions_that_ignore_the_cold_ramp_are_caught(monkeypatch):
    monkeypatch.setattr("glenfold.dispatch.Balancer", IgnoresTheColdRamp)
    assert rules(COLD) == {"cold"}
