"""Stand-ins for clients, push servers, discovery's agent and the platform, for the cases of this review.

They follow the protocol page: lines of text over TCP that end with CRLF, discovery over HTTP/1.1. All
sockets are on 127.0.0.1, at ports that the system chooses. Only the standard library is used.
"""

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
# The exit statuses of a case.py. Each run.sh turns BROKEN into 1, as Python itself ends with 1 on an error.
HELD, BROKEN, CANNOT_RUN = 0, 10, 2
READY_TIMEOUT_S = 30.0


class CannotRun(Exception):
    """Raised when a case can't be run as it is meant."""


class Record:
    """Writes what was sent, answered and run to `record.txt`, with the seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._started_at = time.monotonic()

    def __call__(self, text: str) -> None:
        line = f"{time.monotonic() - self._started_at:8.3f}  {text}"
        self._file.write(line + "\n")
        self._file.flush()
        print(line, flush=True)


def free_port() -> int:
    """Returns a port of 127.0.0.1 that is free now."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return int(sock.getsockname()[1])


def _class(name: str, deadline_us: int, aim_us: int, worth: float) -> dict[str, Any]:
    return {
        "name": name,
        "aim_us": aim_us,
        "hard_limit_us": deadline_us,
        "semantics": "repeatable",
        "group": "all",
        "streaming": True,
        "window_us": 5_000_000,
        "worth": worth,
        "late_value": 0.0,
    }


def _settings(**keys: Any) -> dict[str, Any]:
    """Returns what both sites have in common, and the keys given."""
    ceilings = {"cancel": True, "retry_after": True, "second_copies": False, "peers": False, "probes": False}
    invariants = {"answer_slack_us": 8_000, "ask_within_us": 10_000_000}
    base = {"family": "conn", "az": 0, "slot_no": 0, "replicas_of_me": 1}
    return (
        base | keys | {"ceilings": ceilings | keys["ceilings"], "invariants": invariants | keys["invariants"]}
    )


def cardiff_live() -> dict[str, Any]:
    """Returns the settings of the site cardiff-live, as on the wire page, for one relay."""
    shares = {
        "south-east": (0.34, 3.0, 235.0),
        "north-wales": (0.18, 1.0, 124.0),
        "west-wales": (0.17, 1.0, 117.0),
        "mid-wales": (0.15, 1.0, 103.0),
        "valleys": (0.08, 1.0, 55.0),
        "campus": (0.08, 1.0, 55.0),
    }
    return _settings(
        classes=[
            _class("trip-watch", 3_000_000, 500_000, 3.0),
            _class("driver-feed", 2_000_000, 500_000, 5.0),
        ],
        accounts=[
            {"name": name, "portion": portion, "quota_per_s": quota}
            for name, (portion, quota, _) in shares.items()
        ],
        areas=["cardiff", "wrexham"],
        kinds=["small-fast", "mid-steady", "mid-slow"],
        ceilings={"connect_timeout_us": 250_000, "max_attempts": 5, "max_retry_after_us": 1_500_000},
        extra={
            "mode": "pass",
            "park_us": 4_343_033,
            "groups": True,
            "message_aim_us": [250_000.0, 60_000.0],
            "tenant_quota_connections": [connections for _, _, connections in shares.values()],
        },
        invariants={
            "cold_share": 0.12,
            "cold_us": 23_000_000,
            "fall_multiple": 3.0,
            "fall_us": 3_000_000,
            "stop_sending_within_us": 2_000_000,
        },
        period_us=2000,
        registry_mode="push",
        weights="rough",
        over_share_worth=0.2,
    )


def harbour_desk() -> dict[str, Any]:
    """Returns settings of the site harbour-desk (deploy/sites): connections end at the relay."""
    shares = {"port-office": 0.45, "stevedores": 0.3, "customs": 0.25}
    return _settings(
        classes=[
            _class("mooring-alarm", 1_200_000, 250_000, 9.0),
            _class("tide-gauge", 4_500_000, 800_000, 2.0),
            _class("crane-log", 8_000_000, 2_000_000, 1.0),
            _class("gate-camera", 2_500_000, 600_000, 4.0),
        ],
        accounts=[
            {"name": name, "portion": portion, "quota_per_s": 8 * portion} for name, portion in shares.items()
        ],
        areas=["quayside"],
        kinds=["quay-4", "quay-1"],
        ceilings={"connect_timeout_us": 400_000, "max_attempts": 3, "max_retry_after_us": 900_000},
        extra={
            "mode": "proxy",
            "park_us": 0,
            "groups": False,
            "message_aim_us": [90_000.0, 200_000.0, 400_000.0, 150_000.0],
            "tenant_quota_connections": [400 * portion for portion in shares.values()],
        },
        invariants={
            "cold_share": 0.2,
            "cold_us": 12_000_000,
            "fall_multiple": 2.5,
            "fall_us": 2_200_000,
            "stop_sending_within_us": 1_600_000,
        },
        period_us=3000,
        registry_mode="ask",
        weights="nominal",
        over_share_worth=0.35,
    )


def entry(host: str, dial: str, site: str, kind: str) -> dict[str, Any]:
    """Returns the entry of a push server in discovery's form; it is in service and started long ago."""
    return {
        "host": host,
        "dial": dial,
        "site": site,
        "class": kind,
        "block": 0,
        "health": "in_service",
        "share": 1.0,
        "born_ms": 0,
    }


class Agent:
    """Discovery's agent: answers with the full list, which doesn't change, and keeps watches open."""

    def __init__(self, record: Record, hosts: list[dict[str, Any]]) -> None:
        self._record = record
        self._hosts = hosts
        self._seq = 41
        self._server: asyncio.Server | None = None
        self.port = 0

    async def start(self) -> None:
        """Listens at a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def _list(self) -> bytes:
        return json.dumps({"seq": self._seq, "whole": True, "hosts": self._hosts}).encode()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                target = head.split(b" ", 2)[1].decode()
                if "watch=1" in target:
                    return await self._watch(target, writer)
                body = self._list()
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                    % len(body)
                    + body
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _watch(self, target: str, writer: asyncio.StreamWriter) -> None:
        known = int(target.rpartition("from=")[2])
        self._record(f"agent: a watch from version {known}")
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        if known != self._seq:
            self._chunk(writer, self._list() + b"\n")
        while True:
            await asyncio.sleep(2)
            self._chunk(writer, b"\n")
            await writer.drain()

    @staticmethod
    def _chunk(writer: asyncio.StreamWriter, data: bytes) -> None:
        writer.write(b"%x\r\n" % len(data) + data + b"\r\n")


Handler = Callable[["PushServer", bytes, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


async def accept_and_echo(
    server: "PushServer", line: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """The behaviour of a sound push server: UP, then a line for each line, until the client's side ends."""
    server.up(writer)
    while data := await reader.readline():
        writer.write(b"ECHO " + data)
        await writer.drain()


class PushServer:
    """A push server. `handler` decides what becomes of a connection whose first line has arrived."""

    def __init__(self, name: str, record: Record, handler: Handler = accept_and_echo) -> None:
        self.name = name
        self.record = record
        self.handler = handler
        self.first_lines: list[
            tuple[float, str]
        ] = []  # When the last byte of each first line came, and its id.
        self.receipts = 0
        self.port = 0
        self._listener: asyncio.Server | None = None

    async def start(self) -> None:
        """Listens at a free port."""
        self._listener = await asyncio.start_server(self.serve, HOST, 0)
        self.port = self._listener.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stops listening; connections stand."""
        assert self._listener is not None
        self._listener.close()
        await self._listener.wait_closed()

    @property
    def dial(self) -> str:
        return f"{HOST}:{self.port}"

    def up(self, writer: asyncio.StreamWriter) -> None:
        """Accepts the connection."""
        self.receipts += 1
        writer.write(b"UP %s-%d\r\n" % (self.name.encode(), self.receipts))

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Handles one connection from its first line to its end."""
        try:
            if line := await reader.readline():
                self.got(line)
                await self.handler(self, line, reader, writer)
        except asyncio.CancelledError:
            pass
        except OSError as error:
            self.record(f"{self.name}: its connection broke: {error!r}")
        finally:
            writer.close()

    def got(self, line: bytes) -> None:
        """Records the arrival of a first line."""
        self.first_lines.append((time.monotonic(), line.split()[1].decode()))
        self.record(f"{self.name}: runs {line.decode().strip()}")


def reset(writer: asyncio.StreamWriter) -> None:
    """Closes a connection with a reset."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
    writer.transport.abort()


class Relay:
    """One relay, started by the `run` line of the deploy file as the platform starts it."""

    def __init__(self, record: Record, discovery: str, settings: dict[str, Any]) -> None:
        self._record = record
        self._folder = tempfile.TemporaryDirectory(prefix="glenfold-review-")
        self.config_path = Path(self._folder.name) / "config.json"
        self.log_path = Path(self._folder.name) / "log.txt"
        self.port = free_port()
        self.config = {
            "name": "n1",
            "listen": f"{HOST}:{self.port}",
            "discovery": discovery,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": settings,
        }
        self.write_config()
        self.process: subprocess.Popen[bytes] | None = None

    def write_config(self) -> None:
        """Replaces the configuration file in one step."""
        temporary = self.config_path.with_suffix(".new")
        temporary.write_text(json.dumps(self.config))
        temporary.replace(self.config_path)

    async def start(self) -> None:
        """Starts the program and waits until it answers PING."""
        with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
            command = tomllib.load(file)["run"]
        environment = {name: value for name, value in os.environ.items() if not name.startswith("LB_")}
        environment |= {
            "LB_CONFIG": str(self.config_path),
            "LB_NAME": "n1",
            "LB_LISTEN": f"{HOST}:{self.port}",
            "LB_DISCOVERY": self.config["discovery"],
            "TMPDIR": self._folder.name,
        }
        with self.log_path.open("wb") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", command], cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self._record(f"platform: started the relay at port {self.port}")
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline:
            if self.process.poll() is not None:
                raise CannotRun(f"the relay ended with {self.process.returncode}: {self.log()}")
            try:
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(b"PING\r\n")
                async with asyncio.timeout(3):
                    answer = await reader.readline()
                writer.close()
                if answer == b"PONG\r\n":
                    self._record("platform: the relay answers PONG")
                    return
            except (OSError, TimeoutError):
                pass
            await asyncio.sleep(0.1)
        raise CannotRun("the relay was not ready within 30 s")

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the relay."""
        assert self.process is not None
        self._record(f"platform: {number.name}")
        self.process.send_signal(number)

    @property
    def exit_status(self) -> int | None:
        """The exit status; None while the relay runs."""
        return None if self.process is None else self.process.poll()

    def log(self) -> str:
        """Returns what the relay has logged."""
        text = self.log_path.read_text("utf-8", "replace")
        return text.replace(str(ROOT), ".").replace(sys.base_prefix, "python")

    def end(self) -> None:
        """Ends the relay if it still runs, and removes the folder."""
        if self.process is not None:
            if self.process.poll() is None:
                self.process.kill()
            self.process.wait()
            self._record(f"platform: the relay's exit status is {self.process.returncode}; its log:")
            for line in self.log().splitlines()[-40:]:
                self._record(f"    {line}")
        self._folder.cleanup()


class Client:
    """A client: opens one connection and keeps what it was sent."""

    def __init__(self, record: Record, name: str, port: int, receive_buffer: int = 0) -> None:
        self._record = record
        self.name = name
        self._port = port
        self._receive_buffer = receive_buffer  # Bytes that the system keeps for it; 0 for the usual number.
        self.answer = b""
        self.sent_at = self.answered_at = 0.0
        self.reader: asyncio.StreamReader
        self.writer: asyncio.StreamWriter

    async def open(self, key: int, request_class: str, tenant: str, wait_ms: int) -> bytes:
        """Sends a first line and returns the answer; empty bytes if the connection ended without one."""
        sock = socket.socket()
        if self._receive_buffer:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self._receive_buffer)
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, (HOST, self._port))
        self.reader, self.writer = await asyncio.open_connection(sock=sock)
        identifier = os.urandom(8).hex()
        line = f"OPEN {identifier} {key:016x} c={request_class},t={tenant},d={wait_ms},g={key:016x}\r\n"
        self.writer.write(line.encode())
        self.sent_at = time.monotonic()
        self._record(f"{self.name}: sent {line.strip()}")
        try:
            async with asyncio.timeout(wait_ms / 1000 + 5):
                self.answer = await self.reader.readline()
        except TimeoutError:
            self._record(f"{self.name}: no answer 5 s after its time")
            return b""
        except OSError as error:
            self._record(f"{self.name}: the connection broke: {error!r}")
        self.answered_at = time.monotonic()
        self._record(f"{self.name}: answered {self.answer!r} after {self.answered_at - self.sent_at:.3f} s")
        return self.answer

    def close(self) -> None:
        """Closes the connection."""
        self.writer.close()


def run_case(folder: Path, case: Callable[[Record, bool], Awaitable[bool]]) -> None:
    """Runs one case and exits with HELD, BROKEN or CANNOT_RUN.

    `case` gets the record and whether there is trouble, and returns whether the rule held.
    """
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"the case begins {'with' if trouble else 'WITHOUT'} its disruption")

    async def bounded() -> bool:
        async with asyncio.timeout(110):
            return await case(record, trouble)

    try:
        status = HELD if asyncio.run(bounded()) else BROKEN
    except CannotRun as error:
        record(f"the case couldn't run: {error}")
        status = CANNOT_RUN
    except Exception as error:
        record(f"the case couldn't run: {error!r}")
        status = CANNOT_RUN
    record({HELD: "the rule HELD", BROKEN: "the rule was BROKEN", CANNOT_RUN: "no result"}[status])
    sys.exit(status)
