"""A gateway for tests that is driven event by event, without a clock, wire or simulator."""

from linnetspread.choice import Balancer
from linnetspread.interface import (
    Action,
    Answer,
    Attempt,
    Established,
    Event,
    Fail,
    ListedServer,
    ListKind,
    Move,
    Notice,
    NoticeKind,
    Outcome,
    Refuse,
    Request,
    RequestClass,
    Semantics,
    ServerList,
    ServerState,
    Settings,
    Timer,
)

SECOND = 1_000_000
REPEATABLE = RequestClass(
    aim_us=800_000, deadline_us=3 * SECOND, semantics=Semantics.REPEATABLE, message_aim_us=100_000.0
)


def settings(**changes: object) -> Settings:
    values: dict[str, object] = {"classes": (REPEATABLE,), "pass_through": True, "max_attempts": 4}
    return Settings(**(values | changes))  # type: ignore[arg-type]


def listed(server: int, state: ServerState = ServerState.READY, **fields: object) -> ListedServer:
    return ListedServer(server, state, **fields)  # type: ignore[arg-type]


class Gateway:
    """One gateway's decisions with a clock that the test sets; it starts with `servers` ready servers."""

    def __init__(self, servers: int = 5, start: int = 10 * SECOND, seed: int = 1, **changes: object) -> None:
        self.now = start
        self.balancer = Balancer(settings(**changes), seed)
        self.next_request = 1
        self.attempts: dict[int, int] = {}
        self.server_of: dict[int, int] = {}
        if servers:
            self.servers(ListKind.CACHED, *(listed(100 + n) for n in range(servers)))

    def handle(self, event: Event) -> list[Action]:
        """Handles an event now, and keeps the attempt number and server of each request that is sent."""
        actions = self.balancer.handle(self.now, event)
        for action in actions:
            if isinstance(action, Attempt):
                self.attempts[action.request] = self.attempts.get(action.request, -1) + 1
                self.server_of[action.request] = action.server
        return actions

    def servers(self, kind: ListKind, *servers: ListedServer) -> list[Action]:
        return self.handle(ServerList(kind, 0, servers))

    def request(self, key: int = 0, **fields: object) -> tuple[int, list[Action]]:
        number = self.next_request
        self.next_request += 1
        expires = fields.pop("expires_in_us", 3 * SECOND)
        return number, self.handle(Request(number, expires, key or number, **fields))  # type: ignore[arg-type]

    def answer(self, request: int, outcome: Outcome, done: bool = False, elapsed: int = 0) -> list[Action]:
        attempt, server = self.attempts[request], self.server_of[request]
        return self.handle(Answer(request, attempt, server, outcome, elapsed, done))

    def establish(self, request: int, elapsed: int = 5_000) -> list[Action]:
        return self.handle(Established(request, self.attempts[request], self.server_of[request], elapsed))

    def open(self, key: int = 0, elapsed: int = 5_000, **fields: object) -> int:
        """Requests a connection and establishes it; returns the request id."""
        number, _ = self.request(key, **fields)
        self.establish(number, elapsed)
        return number

    def notice(self, request: int, kind: NoticeKind, amount: float) -> list[Action]:
        return self.handle(Notice(request, self.attempts[request], self.server_of[request], kind, amount))

    def timer(self, token: int) -> list[Action]:
        return self.handle(Timer(token))


def attempts_in(actions: list[Action]) -> list[Attempt]:
    return [action for action in actions if isinstance(action, Attempt)]


def final_answers(actions: list[Action]) -> list[Action]:
    return [action for action in actions if isinstance(action, Refuse | Fail)]


def moved_requests(actions: list[Action]) -> list[int]:
    return [action.request for action in actions if isinstance(action, Move)]
