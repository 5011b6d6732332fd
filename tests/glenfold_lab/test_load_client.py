"""The state machine of one client: any inputs in any order give one answer, one end and bounded waits."""

from hypothesis import given
from hypothesis import strategies as st

from glenfold.lines import parse_open
from glenfold_lab.load.client import (
    LINE_TIMEOUT_US,
    Answer,
    Answered,
    Broken,
    ClientState,
    Close,
    Connected,
    ConnectionEnded,
    ConnectionOptions,
    Due,
    EndReason,
    Input,
    LineAnswered,
    LineSent,
    Phase,
    Received,
    ReceivedEof,
    Send,
    SendEof,
    UnexpectedLine,
    Unreachable,
    open_line,
)

US_PER_MS = 1000
OPTIONS = ConnectionOptions(
    b"OPEN 1 2 c=w,d=2000\r\n", 2_000 * US_PER_MS, until_us=60_000 * US_PER_MS, line_gap_us=2_000 * US_PER_MS
)


def answered_client(options: ConnectionOptions = OPTIONS, at_us: int = 0) -> ClientState:
    state = ClientState(options, 0, 0)
    state.on(Connected(), 0)
    state.on(Received(b"UP r\r\n"), at_us)
    return state


RECEIVED_PIECES = st.sampled_from(
    [
        b"UP r\r\n",
        b"UP",
        b" r\r\n",
        b"BUSY 70\r\n",
        b"MOVE\r\n",
        b"BYE\r\n",
        b"LOAD 5\r\n",
        b"M 1\r\n",
        b"\r",
        b"\n",
        b"x" * 5000,
    ]
)
FIRST_INPUTS = st.sampled_from([Connected(), Unreachable(), Due()])
LATER_INPUTS = st.one_of(
    st.builds(Received, RECEIVED_PIECES), st.sampled_from([ReceivedEof(), Broken(), Due(), Due()])
)
WAITS_US = st.integers(0, 3_000 * US_PER_MS)


@given(st.tuples(FIRST_INPUTS, WAITS_US), st.lists(st.tuples(LATER_INPUTS, WAITS_US), max_size=40))
def test_a_client_reports_one_answer_at_most_one_end_and_nothing_after_close(
    first: tuple[Input, int], later: list[tuple[Input, int]]
) -> None:
    state, now, effects = ClientState(OPTIONS, 0, 0), 0, []
    for event_input, wait in (first, *later):
        now += wait
        effects += state.on(event_input, now)
    answers = [effect for effect in effects if isinstance(effect, Answered)]
    ends = [effect for effect in effects if isinstance(effect, ConnectionEnded)]
    closes = [n for n, effect in enumerate(effects) if isinstance(effect, Close)]
    assert len(answers) <= 1 and len(ends) <= 1 and len(closes) <= 1
    assert not ends or answers[0].answer is Answer.UP
    assert not closes or closes[0] == len(effects) - 1
    assert (state.phase is Phase.ENDED) == bool(closes)


@given(st.lists(st.sampled_from(["silent", "echo", "load"]), max_size=30))
def test_deadlines_alone_always_end_a_connection(replies: list[str]) -> None:
    state, now = answered_client(), 0
    for reply in [*replies, *["echo"] * 200]:
        if state.phase is Phase.ENDED:
            return
        assert state.due_us > now
        now = state.due_us
        for effect in state.on(Due(), now):
            if isinstance(effect, Send) and reply != "silent":
                state.on(Received(b"LOAD 3\r\n" if reply == "load" else effect.data), now)
    raise AssertionError("the connection never ended")


def test_line_latency_counts_from_the_intended_time_and_load_lines_do_not_answer() -> None:
    state = answered_client()
    sent = state.on(Due(), 2_500 * US_PER_MS)
    assert sent == [Send(b"M 2000000\r\n"), LineSent(500 * US_PER_MS)]
    received = state.on(Received(b"LOAD 7\r\nM 2000000\r\nnews\r\n"), 2_600 * US_PER_MS)
    assert received == [LineAnswered(600 * US_PER_MS, b"M 2000000"), UnexpectedLine(b"news")]
    assert (state.phase, state.due_us) == (Phase.UP, 4_000 * US_PER_MS)


def test_overdue_lines_are_all_sent_and_each_is_counted() -> None:
    effects = answered_client().on(Due(), 7_000 * US_PER_MS)
    assert [e.late_us for e in effects if isinstance(e, LineSent)] == [
        5_000 * US_PER_MS,
        3_000 * US_PER_MS,
        1_000 * US_PER_MS,
    ]


def test_the_first_unanswered_line_sets_the_line_timeout() -> None:
    state = answered_client()
    while state.phase is not Phase.ENDED:
        now = state.due_us
        effects = state.on(Due(), now)
    assert now == 2_000 * US_PER_MS + LINE_TIMEOUT_US
    assert effects == [ConnectionEnded(EndReason.SILENT, 4), Close()]


def test_the_first_reason_to_close_is_the_one_reported() -> None:
    for word, reason in ((b"MOVE", EndReason.MOVED), (b"BYE", EndReason.SERVED)):
        state = answered_client()
        assert state.on(Received(word + b"\r\n"), 10) == []
        assert state.on(Broken(), 20) == [ConnectionEnded(reason, 0), Close()]
    leaving = answered_client()
    while not isinstance(leaving.on(Due(), leaving.due_us)[0], SendEof):
        leaving.on(Received(b"M\r\n"), leaving.due_us)
    assert leaving.on(Received(b"MOVE\r\n"), leaving.due_us) == []
    assert leaving.on(Due(), leaving.due_us) == [ConnectionEnded(EndReason.LEFT, 0), Close()]


def test_the_relay_parses_the_first_line_of_a_client() -> None:
    line = open_line(7, 0xAB, {"c": "watch", "t": "valleys", "d": 2000, "g": "5c0f", "again": 1})
    first = parse_open(bytearray(line), len(line))
    assert (first.key, first.wait_ms, first.number(b"g", 16)) == (0xAB, 2000, 0x5C0F)
    assert first.flag(b"again")
