"""Descriptor limits: a flood of clients, idle or not, must leave a relay enough descriptors for discovery."""

import os
import resource
import signal
import socket
import subprocess
import sys
import threading
import time
from collections import deque
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from pathlib import Path
from typing import Any

import pytest
import relaying
import trio
import trio.testing
from relaying import entry, relay, whole

from glenfold.config.platform import OWN_SOCKETS
from glenfold.net import inbound as inbound_module
from glenfold.net.discovery import MAX_LIST_DELAY_S
from glenfold.net.inbound import CLOSING_TIMEOUT_S, FIRST_LINE_TIMEOUT_S, Inbound
from glenfold.net.sockets import SocketType

SOCKETS = 64  # The relay's descriptor limit, in its configuration and in the kernel.
FLOOD_DURATION_S = 1.5
CLIENT_INTERVAL_S = 0.002  # At a shorter interval clients would disconnect before they are accepted.
MAX_OPEN_REQUESTS = 60  # Several times the relay's room for requests.
MAX_OTHER_CLIENTS = 200
REQUEST = b"OPEN %x 1 c=watch,t=valleys,d=3000\r\n"
FIRST_BYTES = (b"", b"PING\r\n", b"half a li", b"no line\r\nand more", REQUEST)


class Flood:
    """Clients that connect, send one of `FIRST_BYTES` and stay idle; the oldest ones disconnect."""

    def __init__(self, port: int) -> None:
        self._port = port
        self._requests: deque[socket.socket] = deque()
        self._others: deque[socket.socket] = deque()
        self.clients_started = 0

    def add_client(self) -> None:
        self.clients_started += 1
        first = FIRST_BYTES[self.clients_started % len(FIRST_BYTES)]
        requests = first is REQUEST
        held, max_count = (
            (self._requests, MAX_OPEN_REQUESTS) if requests else (self._others, MAX_OTHER_CLIENTS)
        )
        client = socket.socket()
        held.append(client)
        client.settimeout(0.2)
        with suppress(OSError):  # the relay may have answered and closed already
            client.connect(("127.0.0.1", self._port))
            client.sendall(first % self.clients_started if requests else first)
        if len(held) > max_count:
            held.popleft().close()

    def end(self) -> None:
        for client in (*self._requests, *self._others):
            client.close()


class DescriptorWatch:
    """Polls the number of open descriptors of a process and keeps the maximum."""

    def __init__(self, process: int) -> None:
        self.max_count = 0
        self._folder, self._stopped = f"/proc/{process}/fd", threading.Event()
        self._thread = threading.Thread(target=self._poll)

    def __enter__(self) -> "DescriptorWatch":
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stopped.set()
        self._thread.join()

    def _poll(self) -> None:
        while not self._stopped.is_set():
            self.max_count = max(self.max_count, len(os.listdir(self._folder)))
            time.sleep(0.0005)


class OpenConnections:
    """Counts the accepted clients whose connections are not closed yet."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.count = 0
        connection = Inbound._connection

        async def counted(inbound: Inbound, *arguments: Any) -> None:
            self.count += 1
            try:
                await connection(inbound, *arguments)
            finally:
                self.count -= 1

        monkeypatch.setattr(Inbound, "_connection", counted)


@contextmanager
def silent_server() -> Iterator[int]:
    """Yields the port of a push server that accepts and never answers: each call to it holds a descriptor."""
    held: list[socket.socket] = []

    def accept(listener: socket.socket) -> None:
        with suppress(OSError):
            while True:
                held.append(listener.accept()[0])

    with socket.create_server(("127.0.0.1", 0), backlog=512) as listener:
        thread = threading.Thread(target=accept, args=(listener,), daemon=True)
        thread.start()
        try:
            yield listener.getsockname()[1]
        finally:
            listener.shutdown(socket.SHUT_RDWR)
            thread.join()
    for sock in held:
        sock.close()


@contextmanager
def relay_process(folder: Path, discovery: int, server: int) -> Iterator[tuple[subprocess.Popen[str], int]]:
    """Starts a relay process; yields the process and its port once it listens."""
    relaying.write_config(
        folder,
        listen="127.0.0.1:0",
        discovery=f"127.0.0.1:{discovery}",
        limits={"sockets": SOCKETS},
        known=whole(*(entry(f"s-{n}", f"127.0.0.1:{server}") for n in range(3))),
    )
    with socket.create_server(("127.0.0.1", 0)) as free:
        port = free.getsockname()[1]
    environment = os.environ | {
        "LB_CONFIG": str(folder / "config.json"),
        "LB_LISTEN": f"127.0.0.1:{port}",
    }
    with (
        (folder / "log").open("w") as log,
        subprocess.Popen(
            [sys.executable, "-m", "glenfold"],
            cwd=Path(__file__).parents[1],
            env=environment,
            stderr=log,
            text=True,
            preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (SOCKETS, SOCKETS)),
        ) as process,
    ):
        try:
            while "relay listens" not in (folder / "log").read_text() and process.poll() is None:
                time.sleep(0.01)
            yield process, port
            process.send_signal(signal.SIGTERM)
            process.wait(10)
        finally:
            process.kill()


def test_discovery_and_accepted_clients_get_descriptors_during_a_flood_of_clients(
    tmp_path: Path,
) -> None:
    with (
        socket.socket() as discovery,  # refuses connections until it listens
        silent_server() as server,
    ):
        discovery.bind(("127.0.0.1", 0))
        with relay_process(tmp_path, discovery.getsockname()[1], server) as (process, port):
            flood = Flood(port)
            with DescriptorWatch(process.pid) as descriptor_watch:
                deadline = time.monotonic() + FLOOD_DURATION_S
                while time.monotonic() < deadline:
                    flood.add_client()
                    time.sleep(CLIENT_INTERVAL_S)
                discovery.listen()
                discovery.settimeout(0.001)
                deadline = time.monotonic() + MAX_LIST_DELAY_S
                discovery_call = None
                while discovery_call is None and time.monotonic() < deadline:
                    flood.add_client()
                    with suppress(TimeoutError):
                        discovery_call = discovery.accept()[0]
            flood.end()
            assert discovery_call is not None
            discovery_call.close()
    log = (tmp_path / "log").read_text()
    assert flood.clients_started > 4 * SOCKETS and descriptor_watch.max_count < SOCKETS
    assert "connect_failed" not in log and "faults=0" in log


def test_clients_and_their_calls_leave_enough_descriptors_for_the_relay_itself(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The limit holds however many clients arrive in one turn of the event loop."""
    clients = OpenConnections(monkeypatch)
    conf = relaying.config(tmp_path, limits={"sockets": SOCKETS})
    max_count = SOCKETS - OWN_SOCKETS
    counts: list[int] = []

    async def silent(stream: trio.SocketStream) -> None:
        while await stream.receive_some():
            pass

    async def main() -> None:
        async with relay(conf, silent) as (shared, inbound, port):
            flood = Flood(port)
            for _ in range(2 * SOCKETS - 8):
                flood.add_client()  # no more than the kernel's queue holds: the loop does not run meanwhile
            while shared.counters.accepted < flood.clients_started:
                await trio.lowlevel.checkpoint()
                counts.append(clients.count + inbound._taken)
            flood.end()

    trio.run(main, clock=trio.testing.MockClock())
    assert (
        conf.connection_limits.max_awaiting_first_line + 2 * conf.connection_limits.max_accepted
        < max(counts)
        <= max_count
    )


def test_a_client_that_reads_nothing_is_still_closed(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """The kernel has no buffer for the client's answer; the relay waits only a limited time for it."""
    clients = OpenConnections(monkeypatch)

    async def no_room(sock: SocketType, data: bytes) -> None:
        await trio.sleep_forever()

    monkeypatch.setattr(inbound_module, "send", no_room)

    async def main() -> None:
        async with relay(relaying.config(tmp_path), relaying.accept_and_echo) as (shared, inbound, port):
            idle = [socket.create_connection(("127.0.0.1", port)) for _ in range(2)]
            idle[0].sendall(b"no line\r\n")  # the other client sends nothing
            with trio.fail_after(FIRST_LINE_TIMEOUT_S + 2 * CLOSING_TIMEOUT_S):
                while shared.counters.accepted < len(idle) or clients.count:
                    await trio.sleep(0.1)
            for client in idle:
                client.close()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0.01))
