"""The model of a connection's states: random steps on RequestState are checked against what a client,
a push server and the decisions may see of it."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from glenfold import request
from linnetspread import interface

ENDINGS = st.sampled_from(
    [o for o in interface.Outcome if o not in (interface.Outcome.MOOT, interface.Outcome.UNKNOWN)]
)


class ConnectionModel(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.now = 1_000_000
        self.state = request.RequestState(7, self.now + 3_000_000)
        self.asked = 0  # attempts the decisions have asked for
        self.reported = 0  # of these, ended in their books
        self.calls_out = 0
        self.answers = 0
        self.up = self.over = self.bound = False

    def step(self, incident: request.Input) -> list[request.Effect]:
        self.now += 1000
        was_up, was_over = self.up, self.over
        if isinstance(incident, interface.Attempt):
            self.asked += 1
        effects = self.state.on(incident, self.now)
        self.apply(effects)
        if was_over:
            assert all(isinstance(e, request.DropCall) or self.moot(e) for e in effects), effects
        if was_up:
            assert not any(
                isinstance(e, request.AnswerUp | request.AnswerRefused | request.AnswerFailed)
                for e in effects
            )
        return effects

    @staticmethod
    def moot(effect: request.Effect) -> bool:
        return (
            isinstance(effect, request.Report)
            and getattr(effect.event, "outcome", None) is interface.Outcome.MOOT
        )

    def apply(self, effects: list[request.Effect]) -> None:
        for effect in effects:
            match effect:
                case request.StartCall(_, deadline_us):
                    self.calls_out += 1
                    assert self.now <= deadline_us <= self.state.deadline_us
                case request.DropCall():
                    self.calls_out = 0
                case request.AnswerUp():
                    self.answers += 1
                    self.up = True
                case request.AnswerRefused() | request.AnswerFailed():
                    self.answers += 1
                    self.over = True
                case request.MoveClient():
                    assert self.up and not self.over
                case request.Report(interface.Answer(_, attempt, _, _, _, _)):
                    self.reported += 1
                    assert 0 <= attempt < self.asked
                case request.Report(interface.ClientLeft()):
                    self.over = True

    @precondition(lambda self: self.asked == 0 and not self.over)
    @rule()
    def stands_already(self) -> None:
        self.asked, self.bound = 1, True
        self.apply(self.state.resume(3, self.now))

    @precondition(lambda self: not self.bound)
    @rule(server=st.integers(1, 5), timeout=st.integers(1, 5_000_000))
    def attempt(self, server: int, timeout: int) -> None:
        free = not (self.calls_out or self.up or self.over)
        started = any(
            isinstance(e, request.StartCall) for e in self.step(interface.Attempt(7, server, timeout))
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
        due = not (self.up or self.over)
        before = self.answers
        self.step(final)
        assert self.answers == before + due  # at once, and never beside another answer

    @rule()
    def cancel(self) -> None:
        self.step(interface.Cancel(7, max(0, self.asked - 1)))
        assert self.up or self.calls_out == 0
        if self.bound and not (self.up or self.over):
            self.bound = False

    @rule()
    def move(self) -> None:
        assert bool(self.step(interface.Move(7))) == (self.up and not self.over)

    @precondition(lambda self: self.calls_out and not self.up)
    @rule()
    def comes_up(self) -> None:
        self.step(request.CallUp(b"UP x\r\n"))
        assert self.up and self.answers == 1

    @rule()
    def late_up_races_the_answer(self) -> None:
        if self.over or not (self.calls_out or self.up):
            assert self.step(request.CallUp(b"UP x\r\n")) == [request.DropCall()]

    @precondition(lambda self: self.calls_out and not self.up)
    @rule(outcome=ENDINGS)
    def call_ends(self, outcome: interface.Outcome) -> None:
        self.calls_out = 0
        self.step(request.CallEnded(outcome))
        assert self.over == self.bound  # one that stood at a server has no other to go to

    @rule()
    def client_leaves(self) -> None:
        self.step(request.ClientDisconnected())
        self.over = True
        self.calls_out = self.calls_out if self.up else 0

    @rule(outcome=ENDINGS)
    def connection_ends(self, outcome: interface.Outcome) -> None:
        if self.up and not self.over:
            self.step(request.ConnectionEnded(outcome))
            self.over = True

    @invariant()
    def one_answer_one_call_and_honest_books(self) -> None:
        assert self.answers <= 1 and self.calls_out <= 1
        assert self.reported == self.asked - (0 if self.over else bool(self.calls_out))
        assert (self.state.phase is request.Phase.FINISHED) == self.over


ConnectionModel.TestCase.settings = settings(
    derandomize=True, max_examples=150, stateful_step_count=20, deadline=None, database=None
)
TestConnectionModel = ConnectionModel.TestCase
