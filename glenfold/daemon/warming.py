"""What would be slow the first time is done before the first client comes, on throw-away state."""

from glenfold import lines
from glenfold import request as r
from glenfold.config import Config
from glenfold.dispatch import Dispatch
from linnetspread import interface as i

REQUESTS = 32  # from the eighth or so on the interpreter has specialised its code
SET_UP_US = 5_000
SPACE_US = 20_000
GOLDEN = 0x9E3779B97F4A7C15


def warm_up(config: Config, servers: tuple[i.ListedServer, ...], now_us: int) -> None:
    """Requests from their first lines to their ends, by decisions that nobody else ever sees. `servers`: the
    list as it is, so that the map is built at its real size."""
    dispatch = Dispatch(config.settings, config.seed, lambda text: None)
    dispatch.handle(now_us, i.ServerList(i.ListKind.CACHED, 1, servers))
    for number in range(1, REQUESTS + 1):
        at_us = now_us + number * SPACE_US
        key = number * GOLDEN % (1 << 64)
        line = bytearray(b"OPEN %016x %016x c=x,d=2000,g=%x\r\n" % (number, key, number))
        _one_request(dispatch, number, lines.parse_open(line, len(line)), at_us)


def _one_request(dispatch: Dispatch, number: int, first: lines.OpenLine, at_us: int) -> None:
    wait_us = first.wait_ms * 1000
    state = r.RequestState(number, at_us + wait_us)
    actions = dispatch.handle(at_us, i.Request(number, wait_us, first.key, first.number(b"g", 16)))
    ended = r.ConnectionEnded(i.Outcome.OK)
    incidents: list[tuple[int, r.Input]] = [(at_us, action) for action in actions]
    incidents += [(at_us + SET_UP_US, r.CallUp(b"UP x\r\n")), (at_us + 2 * SPACE_US, ended)]
    for moment_us, incident in incidents:
        for effect in state.on(incident, moment_us):
            if isinstance(effect, r.StartCall):
                first.with_wait(first.wait_ms)
            elif isinstance(effect, r.Report):
                dispatch.handle(moment_us, effect.event)
