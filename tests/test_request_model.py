"""A model of the states of a request.

Random steps on RequestState are checked against what a client, a push server and the decisions may observe.
"""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from glenfold import request
from linnetspread import interface

CALL_ENDINGS = st.sampled_from([o for o in interface.Outcome if o is not interface.Outcome.UNKNOWN])
ENDINGS = st.sampled_from(
    [o for o in interface.Outcome if o not in (interface.Outcome.MOOT, interface.Outcome.UNKNOWN)]
)


class ConnectionModel(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.now = 1_000_000
        self.state = request.RequestState(7, self.now + 3_000_000)
        self.requested = 0  # attempts that the decisions requested
        self.reported = 0  # of these, attempts whose end was reported to the decisions
        self.send_by_us: int | None = None  # the limit for sending of the attempt requested last
        self.calls_out = 0
        self.answers = 0
        self.up = self.finished = self.bound = False

    def step(self, event_input: request.Input) -> list[request.Effect]:
        self.now += 1000
        was_up, was_finished = self.up, self.finished
        if isinstance(event_input, interface.Attempt):
            self.requested += 1
        effects = self.state.on(event_input, self.now)
        self.apply(effects)
        if was_finished:
            assert all(isinstance(effect, request.DropCall) or self.is_moot(effect) for effect in effects), (
                effects
            )
        if was_up:
            assert not any(
                isinstance(effect, request.AnswerUp | request.AnswerRefused | request.AnswerFailed)
                for effect in effects
            )
        return effects

    @staticmethod
    def is_moot(effect: request.Effect) -> bool:
        return (
            isinstance(effect, request.Report)
            and getattr(effect.event, "outcome", None) is interface.Outcome.MOOT
        )

    def apply(self, effects: list[request.Effect]) -> None:
        for effect in effects:
            match effect:
                case request.StartCall(_, deadline_us, send_by_us):
                    self.calls_out += 1
                    assert send_by_us == self.send_by_us
                    assert self.now <= deadline_us <= self.state.deadline_us
                case request.DropCall():
                    self.calls_out = 0
                case request.AnswerUp():
                    self.answers += 1
                    self.up = True
                case request.AnswerRefused() | request.AnswerFailed():
                    self.answers += 1
                    self.finished = True
                case request.MoveClient():
                    assert self.up and not self.finished
                case request.Report(interface.Answer(_, attempt, _, _, _, _)):
                    self.reported += 1
                    assert 0 <= attempt < self.requested
                case request.Report(interface.ClientLeft()):
                    self.finished = True

    @precondition(lambda self: self.requested == 0 and not self.finished)
    @rule()
    def resumes_at_a_server(self) -> None:
        self.requested, self.bound = 1, True
        self.apply(self.state.resume(3, self.now))

    @precondition(lambda self: not self.bound)
    @rule(
        server=st.integers(1, 5),
        timeout=st.integers(1, 5_000_000),
        send_by_us=st.none() | st.integers(1, 5_000_000),
    )
    def attempt(self, server: int, timeout: int, send_by_us: int | None) -> None:
        free = not (self.calls_out or self.up or self.finished)
        self.send_by_us = send_by_us
        started = any(
            isinstance(effect, request.StartCall)
            for effect in self.step(interface.Attempt(7, server, timeout, send_by_us))
        )
        assert started == free

    @rule(
        final=st.sampled_from(
            [
                interface.Refuse(7, 400_000),
                interface.Fail(7),
                request.DeadlinePassed(),
                request.ClientSentEarly(),
            ]
        )
    )
    def give_up(self, final: request.Input) -> None:
        due = not (self.up or self.finished)
        before = self.answers
        self.step(final)
        assert self.answers == before + due  # the answer is immediate and the only one

    @rule()
    def cancel(self) -> None:
        self.step(interface.Cancel(7, max(0, self.requested - 1)))
        assert self.up or self.calls_out == 0
        if self.bound and not (self.up or self.finished):
            self.bound = False

    @rule()
    def move(self) -> None:
        assert bool(self.step(interface.Move(7))) == (self.up and not self.finished)

    @precondition(lambda self: self.calls_out and not self.up)
    @rule()
    def call_comes_up(self) -> None:
        self.step(request.CallUp(b"UP x\r\n"))
        assert self.up and self.answers == 1

    @rule()
    def up_after_the_answer_drops_the_call(self) -> None:
        if self.finished or not (self.calls_out or self.up):
            assert self.step(request.CallUp(b"UP x\r\n")) == [request.DropCall()]

    @precondition(lambda self: self.calls_out and not self.up)
    @rule(outcome=CALL_ENDINGS)
    def call_ends(self, outcome: interface.Outcome) -> None:
        self.calls_out = 0
        self.step(request.CallEnded(outcome))
        assert self.finished == self.bound  # a connection established before can't go to another server

    @rule()
    def client_leaves(self) -> None:
        self.step(request.ClientDisconnected())
        self.finished = True
        self.calls_out = self.calls_out if self.up else 0

    @rule(outcome=ENDINGS)
    def connection_ends(self, outcome: interface.Outcome) -> None:
        if self.up and not self.finished:
            self.step(request.ConnectionEnded(outcome))
            self.finished = True

    @invariant()
    def one_answer_one_call_and_correct_reports(self) -> None:
        assert self.answers <= 1 and self.calls_out <= 1
        assert self.reported == self.requested - (0 if self.finished else bool(self.calls_out))
        assert (self.state.phase is request.Phase.FINISHED) == self.finished


ConnectionModel.TestCase.settings = settings(
    derandomize=True, max_examples=150, stateful_step_count=20, deadline=None, database=None
)
TestConnectionModel = ConnectionModel.TestCase
