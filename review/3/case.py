"""Case 3: a keyed request is sent again after its window, as the connection for it comes up late."""

import asyncio
import socket
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import (  # noqa: E402
    HOST,
    Agent,
    CannotRun,
    Client,
    PushServer,
    Record,
    Relay,
    cardiff_live,
    entry,
    run_case,
)

WINDOW_S = 1.0
SLACK_S = 0.05  # "every time limit is extended by 50 ms"
ERROR_AFTER_S = 0.4  # From the arrival of the first line at the first push server to its ERR.
HELD_FOR_S = 0.6  # From ERR on, the second push server takes no connection for this long.
CONNECT_TIMEOUT_US = 1_500_000
WAIT_MS = 3000


async def find_key(relay: Relay, record: Record, wanted: PushServer) -> int:
    """Returns a key whose requests go to `wanted` first."""
    for key in range(1, 60):
        client = Client(record, f"probe-{key}", relay.port)
        before = len(wanted.first_lines)
        await client.open(key, "trip-watch", "valleys", WAIT_MS)
        client.close()
        if len(wanted.first_lines) > before:
            return key
    raise CannotRun("no key goes to the first push server")


class LateListener:
    """Takes the place of a push server's listener, and lets connections come up late.

    Its queue has room for one connection. The case's own fills it, so the system drops the packets with which
    others begin, until that one is accepted. The relay's system repeats its packet after a second.
    """

    def __init__(self, server: PushServer) -> None:
        self._server = server
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind((HOST, server.port))
        self._listener.listen(0)
        self._filler = socket.create_connection((HOST, server.port))

    async def take(self) -> None:
        """Accepts connections from now on."""
        self._listener.setblocking(False)
        await asyncio.start_server(self._server.serve, sock=self._listener)
        self._filler.close()


async def case(record: Record, trouble: bool) -> bool:
    first, second = servers = [PushServer(f"s-{number}", record) for number in (1, 2)]
    for server in servers:
        await server.start()
    agent = Agent(record, [entry(server.name, server.dial, "cardiff", "mid-steady") for server in servers])
    await agent.start()
    configured = cardiff_live()
    for request_class in configured["classes"]:
        request_class |= {"semantics": "by_key", "group": "all", "window_us": round(WINDOW_S * 1e6)}
    configured["ceilings"]["connect_timeout_us"] = CONNECT_TIMEOUT_US
    relay = Relay(record, f"{HOST}:{agent.port}", configured)
    late: LateListener | None = None

    async def answer_error(
        server: PushServer, line: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await asyncio.sleep(ERROR_AFTER_S)
        record(f"{server.name}: answers ERR")
        writer.write(b"ERR\r\n")
        await writer.drain()
        writer.close()
        if late is not None:
            await asyncio.sleep(HELD_FOR_S)
            record(f"{second.name}: takes connections again")
            await late.take()

    try:
        await relay.start()
        key = await find_key(relay, record, first)
        await asyncio.sleep(0.5)
        if trouble:
            await second.stop()
            late = LateListener(second)
            record(f"{second.name}: connections come up late from now on")
        first.handler = answer_error
        for server in servers:
            server.first_lines.clear()
        client = Client(record, "client", relay.port)
        await client.open(key, "trip-watch", "valleys", WAIT_MS)
        await asyncio.sleep(0.5)
        client.close()
        runs = sorted(at for server in servers for at, _ in server.first_lines)
        record(f"the request ran {len(runs)} times, at {[round(at - runs[0], 3) for at in runs]} s")
        if not first.first_lines:
            raise CannotRun("the request did not go to the first push server")
        if trouble and len(runs) > 1 and runs[1] - runs[0] < ERROR_AFTER_S + HELD_FOR_S:
            raise CannotRun("the second connection did not come up late")
        allowed = WINDOW_S + SLACK_S
        held = runs[-1] - runs[0] <= allowed
        record(f"sent again no later than {allowed:.3f} s after the first, if at all: {held}")
        return held
    finally:
        relay.end()


run_case(FOLDER, case)
