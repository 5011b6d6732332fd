"""Runs requests on temporary state before the first client, so that no client pays for a slow first run."""

from glenfold import lines, request
from glenfold.config import Config
from glenfold.dispatch import Dispatch
from linnetspread import Balancer, interface

WARM_UP_REQUESTS = 32  # The interpreter has specialised its code after about eight requests.
SET_UP_US = 5_000
REQUEST_INTERVAL_US = 20_000
GOLDEN_RATIO_64 = 0x9E3779B97F4A7C15


def warm_up(
    config: Config, servers: tuple[interface.ListedServer, ...], now_us: int, balancer: Balancer
) -> None:
    """Runs requests from their first lines to their ends on a separate Dispatch.

    `servers` is the current list and `balancer` the one that has its map: to build the map of a large fleet
    once more would hold the relay up, and take as much memory again.
    """
    dispatch = Dispatch(config.settings, config.seed, lambda text: None)
    dispatch.balancer.share_map(balancer)
    dispatch.handle(now_us, interface.ServerList(interface.ListKind.CACHED, 1, servers))
    for number in range(1, WARM_UP_REQUESTS + 1):
        at_us = now_us + number * REQUEST_INTERVAL_US
        key = number * GOLDEN_RATIO_64 % (1 << 64)
        line = bytearray(b"OPEN %016x %016x c=x,d=2000,g=%x\r\n" % (number, key, number))
        _run_request(dispatch, number, lines.parse_open(line, len(line)), at_us)


def _run_request(dispatch: Dispatch, number: int, first: lines.OpenLine, at_us: int) -> None:
    wait_us = first.wait_ms * 1000
    state = request.RequestState(number, at_us + wait_us)
    actions = dispatch.handle(at_us, interface.Request(number, wait_us, first.key, first.number(b"g", 16)))
    ended = request.ConnectionEnded(interface.Outcome.OK)
    inputs: list[tuple[int, request.Input]] = [(at_us, action) for action in actions]
    inputs += [(at_us + SET_UP_US, request.CallUp(b"UP x\r\n")), (at_us + 2 * REQUEST_INTERVAL_US, ended)]
    for time_us, request_input in inputs:
        for effect in state.on(request_input, time_us):
            if isinstance(effect, request.StartCall):
                first.with_wait(first.wait_ms)
            elif isinstance(effect, request.Report):
                dispatch.handle(time_us, effect.event)
