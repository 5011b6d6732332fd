"""Case 3: a planned restart while push servers have much to send to clients that read steadily."""

import asyncio
import random
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import (  # noqa: E402
    Agent,
    CannotRun,
    Client,
    PushServer,
    Record,
    Relay,
    entry,
    harbour_desk,
    run_case,
)

CLIENTS = 6
SEED = 5
LINE_BYTES = 800, 3900  # Lines are at most 4 KiB long.
READ_BYTES, READ_INTERVAL_S = 10_000, 0.05  # A client reads 200 KB a second.
RECEIVE_BUFFER_BYTES = 65_536
BEFORE_SIGTERM_S = 2.0
WITHOUT_TROUBLE_S = 10.0
KILL_AFTER_S = 8.7  # The longest deadline of the settings, 8 s, and 0.7 s.
MOVE = b"MOVE\r\n"


async def send_much(
    server: PushServer, line: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Sends whole lines for as long as the connection stands, as fast as they are taken."""
    server.up(writer)
    lengths = random.Random(SEED + server.receipts)
    number = 0
    while True:
        number += 1
        writer.write(b"TRIP %06d %s\r\n" % (number, b"x" * lengths.randrange(*LINE_BYTES)))
        await writer.drain()


async def read_steadily(
    record: Record, client: Client, signalled: asyncio.Event, done: asyncio.Event
) -> bool:
    """Reads until the connection ends; returns whether that was with MOVE, or the end of the case."""
    tail, lines, end = b"", 0, "the end of the case"
    last_line = time.monotonic()
    while not done.is_set():
        try:
            data = await client.reader.read(READ_BYTES)
        except OSError as error:
            end = repr(error)
            break
        if not data:
            end = "the end of the stream"
            break
        if signalled.is_set():
            lines += (tail[-1:] + data).count(b"\r\n")
        tail = tail[-8:] + data
        if time.monotonic() > last_line + 2:
            last_line = time.monotonic()
            client.writer.write(b"HELLO\r\n")
        await asyncio.sleep(READ_INTERVAL_S)
    else:
        client.close()
        return True
    moved = tail.endswith(b"\r\n" + MOVE)
    record(
        f"{client.name}: {'moved' if moved else 'CUT OFF WITHOUT MOVE'}: {end}, {lines} whole lines came "
        f"after SIGTERM, the last bytes are {tail[-20:]!r}"
    )
    return moved


async def case(record: Record, trouble: bool) -> bool:
    servers = [PushServer(f"s-{number}", record, send_much) for number in (1, 2)]
    for server in servers:
        await server.start()
    agent = Agent(record, [entry(server.name, server.dial, "quayside", "quay-4") for server in servers])
    await agent.start()
    relay = Relay(record, f"127.0.0.1:{agent.port}", harbour_desk())
    signalled, done = asyncio.Event(), asyncio.Event()
    try:
        await relay.start()
        clients = [
            Client(record, f"client-{number}", relay.port, RECEIVE_BUFFER_BYTES) for number in range(CLIENTS)
        ]
        async with asyncio.TaskGroup() as tasks:
            reads = []
            for number, client in enumerate(clients):
                await client.open(0x9E3779B97F4A7C15 * (number + 1) % 2**64, "tide-gauge", "customs", 4500)
                if not client.answer.startswith(b"UP "):
                    raise CannotRun("not all clients are connected")
                reads.append(tasks.create_task(read_steadily(record, client, signalled, done)))
            await asyncio.sleep(BEFORE_SIGTERM_S)
            if trouble:
                relay.signal(signal.SIGTERM)
                signalled.set()
                await asyncio.sleep(KILL_AFTER_S)
                if relay.exit_status is None:
                    relay.signal(signal.SIGKILL)
                await asyncio.wait(reads, timeout=30)
            else:
                await asyncio.sleep(WITHOUT_TROUBLE_S)
            done.set()
        kept = sum(read.result() for read in reads)
        record(f"{kept} of {len(reads)} connections were kept or moved")
        return kept == len(reads)
    finally:
        relay.end()


run_case(FOLDER, case)
