"""A process that behaves as an instance does towards its supervisor: FOLDER NAME.

What it does is told by words in FOLDER/NAME.does: `crash` (ends at once), `waits` (is not ready), `refuses`
(counts half of its requests as refused), `stays` (does not stop when told to).
"""

import json
import os
import signal
import socket
import sys
import time
from contextlib import suppress
from pathlib import Path

folder, name = Path(sys.argv[1]), sys.argv[2]


def does(what: str) -> bool:
    try:
        return what in (folder / f"{name}.does").read_text().split()
    except FileNotFoundError:
        return False


def on_signal(number: int, _: object) -> None:
    if number == signal.SIGHUP:
        print("reloads", flush=True)
        return
    print("told to stop", flush=True)
    if not does("stays"):
        with suppress(FileNotFoundError):
            path.unlink()
        os._exit(0)


print(f"starts as {os.getpid()}", flush=True)
if does("crash"):
    sys.exit(3)
path = folder / f"{name}.control"
for number in (signal.SIGTERM, signal.SIGHUP):
    signal.signal(number, on_signal)
listener = socket.socket(socket.AF_UNIX)
with suppress(FileNotFoundError):
    path.unlink()
listener.bind(str(path))
listener.listen(16)
listener.settimeout(0.1)
asked = 0
until = time.monotonic() + 40  # whatever becomes of the test
while time.monotonic() < until and folder.exists():
    with suppress(TimeoutError):
        connection, _ = listener.accept()
        with connection, suppress(OSError):
            connection.settimeout(1.0)
            connection.recv(1000)
            asked += 40
            counters = {
                "answered_up": asked // 2 if does("refuses") else asked,
                "answered_busy": asked // 2 if does("refuses") else 0,
            }
            status = {
                "instance": name,
                "pid": os.getpid(),
                "state": "waiting" if does("waits") else "ready",
                "counters": counters,
            }
            connection.sendall(json.dumps(status).encode() + b"\n")
