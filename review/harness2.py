"""Stand-ins and processes for the cases 6 to 10: relays, discovery, push servers and clients on loopback.

The relays are the project's own, started with the `run` line of deploy/balancer.toml. The stand-ins need the
standard library alone. Times in records are seconds since the start of the script.
"""

import asyncio
import contextlib
import json
import os
import random
import re
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, TextIO

ROOT = Path(__file__).resolve().parent.parent
READY_WITHIN_S = 60.0  # the pages give a relay 30 s; a slow start is not judged here
LIST_INTERVAL_S = 2.0  # an empty line on each watch while nothing changes
LINE_INTERVAL_S = 2.0  # clients send a line so often
HELD, NOT_RUN, BROKEN = 0, 2, 3  # Python itself ends with 1 after an error; run.sh turns 3 into 1
LINGER_ZERO = struct.pack("ii", 1, 0)


def trouble() -> bool:
    """Whether the script is to make its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The record of one run: what was sent, answered and run, one event a line."""

    def __init__(self, path: Path) -> None:
        self._file: TextIO = path.open("w", encoding="utf-8")
        self._started_at = time.monotonic()

    def now(self) -> float:
        """Returns the seconds since the start."""
        return time.monotonic() - self._started_at

    def add(self, event: str, **fields: object) -> None:
        """Writes one event with the present time."""
        parts = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{self.now():8.3f} {event} {parts}\n")

    def say(self, text: str) -> None:
        """Writes a line to the record and to standard output."""
        self._file.write(f"{text}\n")
        with contextlib.suppress(BrokenPipeError):  # the verdict does not depend on who reads along
            print(text, flush=True)

    def close(self) -> None:
        """Ends the record."""
        self._file.close()


def reset(writer: asyncio.StreamWriter) -> None:
    """Closes a connection with a reset."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
    writer.transport.abort()


async def finish(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, within_s: float = 1.0) -> None:
    """Ends the sending side, reads until the peer closes, then closes."""
    with contextlib.suppress(OSError, asyncio.TimeoutError):
        writer.write_eof()
        async with asyncio.timeout(within_s):
            while await reader.read(4096):
                pass
    writer.close()


# ---- discovery -------------------------------------------------------------------------------------


class Discovery:
    """The agent of discovery: the whole list, and watches that get each change at once.

    While `is_silent` is set, as discovery is down, it accepts calls and sends nothing.
    """

    def __init__(self, record: Record) -> None:
        self._record = record
        self.address = ""
        self.is_silent = False
        self._version = 1
        self._hosts: dict[str, dict[str, Any]] = {}
        self._watches: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listens on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def tell(
        self,
        host: str,
        dial: str,
        health: str,
        site: str = "cardiff",
        born_ms: int = 0,
        share: float = 1.0,
    ) -> None:
        """Changes the entry of one server and tells it on all watches."""
        entry = {
            "host": host,
            "dial": dial,
            "site": site,
            "class": "mid-steady",
            "block": 1,
            "health": health,
            "share": share,
            "born_ms": born_ms,
        }
        self._version += 1
        if health == "terminated":
            self._hosts.pop(host, None)
        else:
            self._hosts[host] = entry
        self._record.add("told", host=host, health=health, seq=self._version, watches=len(self._watches))
        self._write_to_all(self._document(False, [entry]))

    def tell_many(self, entries: list[dict[str, Any]]) -> None:
        """Changes many entries at once and tells them as one change."""
        self._version += 1
        for entry in entries:
            if entry["health"] == "terminated":
                self._hosts.pop(entry["host"], None)
            else:
                self._hosts[entry["host"]] = entry
        self._record.add("told-many", entries=len(entries), seq=self._version, health=entries[0]["health"])
        self._write_to_all(self._document(False, entries))

    def whole(self) -> dict[str, Any]:
        """Returns the whole list."""
        return {"seq": self._version, "whole": True, "hosts": list(self._hosts.values())}

    def _document(self, whole: bool, hosts: list[dict[str, Any]]) -> bytes:
        return json.dumps({"seq": self._version, "whole": whole, "hosts": hosts}).encode() + b"\n"

    def _write_to_all(self, data: bytes) -> None:
        for writer in [] if self.is_silent else list(self._watches):
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                target = head.split(" ")[1]
                if self.is_silent:
                    continue  # the call is swallowed; the caller has to call anew
                if "watch=1" not in target:
                    body = json.dumps(self.whole()).encode()
                    writer.write(
                        b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s"
                        % (len(body), body)
                    )
                    continue
                await self._watch(int(re.findall(r"from=(\d+)", target)[0]), writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._watches.discard(writer)
            writer.close()

    async def _watch(self, version: int, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        whole = version != self._version
        data = self._document(whole, list(self._hosts.values()) if whole else [])
        writer.write(b"%x\r\n%s\r\n" % (len(data), data))
        self._watches.add(writer)
        while not writer.is_closing():
            await asyncio.sleep(LIST_INTERVAL_S)
            if not self.is_silent:
                writer.write(b"1\r\n\n\r\n")
                await writer.drain()


# ---- push servers ----------------------------------------------------------------------------------


@dataclass(eq=False)
class ServerConnection:
    """One connection of a relay to a push server."""

    server: "PushServer"
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    id: str = ""
    line: str = ""
    is_up: bool = False
    in_line: bool = False  # a piece of a line was sent, and the rest of it was not
    ended_by_relay: float | None = None

    @property
    def is_mid_flow(self) -> bool:
        """Whether it stood before and now comes through another relay."""
        return self.line.endswith(",mid=1")


@dataclass
class PushServer:
    """A push server. The attributes tell how it behaves; a sound one answers at once.

    `up_after_s` is the time until UP, and `rest_after_s` the time between the two pieces of each line that it
    returns; 0 means that the line comes in one piece. `is_hung` stops all work. `answer` may replace the
    answer to a first line. A connection in mid flow goes on if it stood here, and is reset if it did not.
    """

    host: str
    record: Record
    up_after_s: float = 0.0
    rest_after_s: float = 0.0
    is_hung: bool = False
    drains: bool = False
    answer: Callable[[ServerConnection], Awaitable[bool]] | None = None
    dial: str = ""
    held: set[str] = field(default_factory=set)  # ids of the connections that stand or stood here
    attempts: list[tuple[float, str]] = field(default_factory=list)
    connections: set[ServerConnection] = field(default_factory=set)
    _server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listens on a free port, or again on its own."""
        port = int(self.dial.rpartition(":")[2] or 0)
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port, backlog=512)
        self.dial = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def die(self) -> None:
        """Ends the process: its connections are reset and new ones refused."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            reset(connection.writer)
        self.record.add("server-ends", host=self.host, connections=len(self.connections))

    async def working(self) -> None:
        """Waits while the server hangs."""
        while self.is_hung:
            await asyncio.sleep(0.01)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = ServerConnection(self, reader, writer)
        try:
            await self._exchange(connection)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            connection.ended_by_relay = connection.ended_by_relay or self.record.now()
            self.connections.discard(connection)
            writer.close()

    async def _exchange(self, connection: ServerConnection) -> None:
        reader, writer = connection.reader, connection.writer
        connection.line = (await reader.readuntil(b"\r\n")).decode().strip()
        connection.id = connection.line.split(" ")[1]
        self.attempts.append((self.record.now(), connection.id))
        self.record.add("attempt", host=self.host, line=connection.line.replace(" ", "_"))
        if self.answer is not None and not await self.answer(connection):
            return
        await self.working()
        if connection.is_mid_flow and connection.id not in self.held:
            self.record.add("resets-mid-flow", host=self.host, id=connection.id)
            return reset(writer)
        if self.drains and not connection.is_mid_flow:
            writer.write(b"BUSY\r\n")
            self.record.add("turned-away", host=self.host, id=connection.id)
            return await finish(reader, writer)
        await asyncio.sleep(self.up_after_s)
        await self.working()
        writer.write(f"UP {self.host}-{connection.id}\r\n".encode())
        connection.is_up = True
        self.held.add(connection.id)
        self.connections.add(connection)
        self.record.add("up", host=self.host, id=connection.id)
        while True:
            line = await reader.readline()
            if not line:
                connection.ended_by_relay = self.record.now()
                return
            await self.working()
            await self._return_line(connection, line)

    async def _return_line(self, connection: ServerConnection, line: bytes) -> None:
        if not self.rest_after_s:
            connection.writer.write(line)
            return
        middle = len(line) // 2
        connection.writer.write(line[:middle])
        connection.in_line = True
        await asyncio.sleep(self.rest_after_s)
        await self.working()
        connection.writer.write(line[middle:])
        connection.in_line = False

    async def send_away(self, connection: ServerConnection) -> None:
        """Sends MOVE on one connection, then ends it."""
        self.connections.discard(connection)
        self.record.add("server-moves", host=self.host, id=connection.id)
        connection.writer.write(b"MOVE\r\n")
        with contextlib.suppress(OSError):
            connection.writer.write_eof()


# ---- clients ---------------------------------------------------------------------------------------


@dataclass(eq=False)
class Client:
    """One connection of a client: a first line, its answer, then a line every 2 s until the end.

    `answer` is the first line that came back, and `end` how the connection ended: `fin`, `reset` or `left`.
    """

    id: str
    first: str
    wait_s: float
    relay: str = ""
    sent_at: float = 0.0
    answer: str = ""
    answered_at: float | None = None
    lines: list[str] = field(default_factory=list)
    lines_sent: int = 0
    sent_lines_at: list[float] = field(default_factory=list)
    longest_trip_s: float = 0.0  # from sending a line to its return
    rest: bytes = b""
    end: str = ""
    ended_at: float | None = None

    @property
    def is_up(self) -> bool:
        """Whether it was answered UP."""
        return self.answer.startswith("UP ")

    @property
    def host(self) -> str:
        """The push server that its UP line names."""
        return self.answer[3:].rpartition("-")[0] if self.is_up else ""

    @property
    def was_moved(self) -> bool:
        """Whether its last line was MOVE."""
        return bool(self.lines) and self.lines[-1] == "MOVE"


class Clients:
    """Makes client connections and keeps what became of them."""

    def __init__(self, record: Record, seed: int = 1) -> None:
        self.record = record
        self.random = random.Random(seed)
        self.all: list[Client] = []
        self._tasks: set[asyncio.Task[None]] = set()

    def open(self, address: str, wait_s: float, name: str = "trip-watch", more: str = "") -> Client:
        """Starts one connection to a relay."""
        new_id = f"{self.random.getrandbits(64):016x}"
        key, group = self.random.getrandbits(64), self.random.getrandbits(64)
        first = f"OPEN {new_id} {key:016x} c={name},t=valleys,d={round(wait_s * 1000)},g={group:016x}{more}"
        client = Client(new_id, first, wait_s)
        self.all.append(client)
        self._start(client, address)
        return client

    def route(self, client: Client, address: str) -> Client:
        """Routes the packets of a connection that stands through another relay, as the front does."""
        moved = Client(client.id, f"{client.first},mid=1", client.wait_s)
        self.all.append(moved)
        self._start(moved, address)
        return moved

    def _start(self, client: Client, address: str) -> None:
        task = asyncio.create_task(self._run(client, address))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run(self, client: Client, address: str) -> None:
        client.relay = address
        host, _, port = address.partition(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            client.end = "refused"
            self.record.add("client-refused", id=client.id)
            return
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        writer.write(client.first.encode() + b"\r\n")
        client.sent_at = self.record.now()
        self.record.add("sent", id=client.id, first=client.first.replace(" ", "_"))
        sender = asyncio.create_task(self._send_lines(client, writer))
        try:
            while data := await reader.read(4096):
                self._take(client, data)
            client.end = "fin"
        except ConnectionResetError:
            client.end = "reset"
        finally:
            sender.cancel()
            client.ended_at = self.record.now()
            last = client.lines[-1] if client.lines else ""
            self.record.add(
                "client-end",
                id=client.id,
                end=client.end or "left",
                lines=len(client.lines),
                last=last.replace(" ", "_")[:24],
                part=len(client.rest),
            )
            writer.close()

    def _take(self, client: Client, data: bytes) -> None:
        *complete, client.rest = (client.rest + data).split(b"\r\n")
        for line in complete:
            text = line.decode(errors="replace")
            if not client.answer:
                client.answer, client.answered_at = text, self.record.now()
                self.record.add("answered", id=client.id, answer=text.replace(" ", "_"))
            else:
                client.lines.append(text)
                self._measure(client, text)

    def _measure(self, client: Client, text: str) -> None:
        word, _, rest = text.partition(" ")
        if word == "POS":
            trip_s = self.record.now() - client.sent_lines_at[int(rest.split(" ")[1]) - 1]
            client.longest_trip_s = max(client.longest_trip_s, trip_s)

    async def _send_lines(self, client: Client, writer: asyncio.StreamWriter) -> None:
        while not client.answer:
            await asyncio.sleep(0.01)
        if not client.is_up:
            return
        await asyncio.sleep(self.random.uniform(0, LINE_INTERVAL_S))
        with contextlib.suppress(OSError):
            while True:
                client.lines_sent += 1
                client.sent_lines_at.append(self.record.now())
                writer.write(f"POS {client.id} {client.lines_sent} 51.48 -3.18\r\n".encode())
                await writer.drain()
                await asyncio.sleep(LINE_INTERVAL_S)

    async def stop(self) -> None:
        """Ends all connections that are still open."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


# ---- relays ----------------------------------------------------------------------------------------


def run_line() -> str:
    """Returns the command of the deploy file that starts a relay."""
    return str(tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"])


def reserve() -> socket.socket:
    """Returns a socket that keeps a free loopback port, at which a relay can still listen."""
    reserved = socket.socket()
    reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reserved.bind(("127.0.0.1", 0))
    return reserved


def settings(mode: str, relays: int, classes: list[dict[str, Any]], **changes: Any) -> dict[str, Any]:
    """Returns the settings of a small deployment with two sites."""
    return {
        "classes": classes,
        "accounts": [{"name": "valleys", "portion": 1.0, "quota_per_s": 40.0}],
        "areas": ["cardiff", "wrexham"],
        "az": 0,
        "kinds": ["mid-steady"],
        "replicas_of_me": relays,
        "slot_no": 0,
        "period_us": 2000,
        "registry_mode": "push",
        "weights": "rough",
        "over_share_worth": 0.2,
        "ceilings": {
            "cancel": True,
            "connect_timeout_us": 250_000,
            "max_attempts": 5,
            "max_retry_after_us": 1_500_000,
            "retry_after": True,
            "second_copies": False,
        },
        "invariants": {
            "answer_slack_us": 8000,
            "ask_within_us": 10_000_000,
            "cold_share": 0.12,
            "cold_us": 23_000_000,
            "fall_multiple": 3.0,
            "fall_us": 3_000_000,
            "stop_sending_within_us": 2_000_000,
        },
        "extra": {
            "groups": True,
            "mode": mode,
            "park_us": 4_000_000 if mode == "pass" else 0,
            "message_aim_us": [250_000.0] * len(classes),
            "tells_delay": False,
            "tenant_quota_connections": [2000.0],
        },
        **changes,
    }


def request_class(name: str, deadline_s: float, semantics: str = "repeatable") -> dict[str, Any]:
    """Returns one class of the settings."""
    return {
        "name": name,
        "aim_us": 500_000,
        "hard_limit_us": round(deadline_s * 1e6),
        "semantics": semantics,
        "group": "all",
        "streaming": True,
        "window_us": 5_000_000,
        "worth": 3.0,
    }


class Relay:
    """One relay process of the project."""

    def __init__(self, name: str, discovery: Discovery, folder: Path, config: dict[str, Any]) -> None:
        self.name = name
        self._reserved = reserve()
        self.address = f"127.0.0.1:{self._reserved.getsockname()[1]}"
        self._folder = folder
        self._config = {
            "name": name,
            "listen": self.address,
            "discovery": discovery.address,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": discovery.whole(),
            "settings": config,
        }
        self.process: asyncio.subprocess.Process | None = None
        self.admitted = False  # whether the front sends clients to it

    def know(self, document: dict[str, Any]) -> None:
        """Sets the list that the platform gives to the next start, as the relay last had it."""
        self._config["known"] = document

    async def start(self) -> None:
        """Starts the process and waits until it has answered PING; raises TimeoutError."""
        path = self._folder / f"{self.name}.json"
        path.write_text(json.dumps(self._config))
        log = (self._folder / f"{self.name}.log").open("ab")
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "TMPDIR": str(self._folder),
            "LB_CONFIG": str(path),
            "LB_NAME": self.name,
            "LB_LISTEN": self.address,
            "LB_DISCOVERY": self._config["discovery"],
        }
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run_line(), cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        log.close()
        async with asyncio.timeout(READY_WITHIN_S):
            while not await self._ping():
                if self.process.returncode is not None:
                    raise RuntimeError(f"{self.name} ended: {self.log()}")
                await asyncio.sleep(0.05)
        self.admitted = True

    async def _ping(self) -> bool:
        host, _, port = self.address.partition(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"PING\r\n")
            answer = await reader.readline()
            writer.close()
            return answer == b"PONG\r\n"
        except OSError:
            return False

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal, if the process still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    def log(self) -> str:
        """Returns what the process has logged."""
        path = self._folder / f"{self.name}.log"
        return path.read_text(errors="replace") if path.exists() else ""

    async def end(self) -> None:
        """Kills the process if it still runs, and waits for its end."""
        self.admitted = False
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()


@dataclass
class Fleet:
    """A small deployment: discovery, push servers, relays and clients."""

    record: Record
    folder: Path
    discovery: Discovery
    servers: list[PushServer]
    relays: list[Relay]
    clients: Clients

    @classmethod
    async def start(
        cls,
        record: Record,
        folder: Path,
        config: dict[str, Any],
        servers: int,
        rest_after_s: float = 0.0,
        shares: Sequence[float] = (1.0,),
    ) -> "Fleet":
        """Starts the stand-ins and as many relays as the settings tell; ends them all after a failure."""
        discovery = Discovery(record)
        await discovery.start()
        pushes = [PushServer(f"s-{n:08x}", record, rest_after_s=rest_after_s) for n in range(1, servers + 1)]
        for n, server in enumerate(pushes):
            await server.start()
            site, share = ("cardiff", "wrexham")[n % 2], shares[n % len(shares)]
            discovery.tell(server.host, server.dial, "in_service", site, share=share)
        relays = [Relay(f"n{n}", discovery, folder, config) for n in range(config["replicas_of_me"])]
        fleet = cls(record, folder, discovery, pushes, relays, Clients(record))
        try:
            await asyncio.gather(*(relay.start() for relay in relays))
        except BaseException:
            await fleet.end()
            raise
        return fleet

    async def open(self, count: int, interval_s: float, wait_s: float = 3.0) -> None:
        """Opens this many connections, in turn to all relays that run."""
        for n in range(count):
            relays = [relay for relay in self.relays if relay.admitted]
            self.clients.open(relays[n % len(relays)].address, wait_s)
            await asyncio.sleep(interval_s)

    async def end(self) -> None:
        """Ends all clients and relays."""
        await self.clients.stop()
        for relay in self.relays:
            await relay.end()
            for line in relay.log().splitlines():
                self.record.add("log", relay=relay.name, text=line)


def run_case(play: Callable[[Record, Path], Awaitable[int]], path: Path) -> None:
    """Runs one case, with its record at `path`, and exits with HELD, BROKEN or NOT_RUN."""
    record = Record(path)
    status = NOT_RUN
    try:
        with tempfile.TemporaryDirectory() as temporary:
            status = asyncio.run(play(record, Path(temporary)))
    except Exception as error:
        record.say(f"could not run: {error!r}")
    finally:
        record.say({HELD: "held", BROKEN: "BROKEN", NOT_RUN: "not run"}[status])
        record.close()
    sys.exit(status)
