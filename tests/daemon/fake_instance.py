"""A process that acts as an instance towards its supervisor, started with the arguments FOLDER NAME.

Words in the file FOLDER/NAME.does control it: `crash` (exits at once), `waits` (is not ready), `refuses`
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


def behaves(word: str) -> bool:
    try:
        return word in (folder / f"{name}.does").read_text().split()
    except FileNotFoundError:
        return False


def on_signal(number: int, _: object) -> None:
    if number == signal.SIGHUP:
        print("reloads", flush=True)
        return
    print("told to stop", flush=True)
    if not behaves("stays"):
        with suppress(FileNotFoundError):
            path.unlink()
        os._exit(0)


print(f"starts as {os.getpid()}", flush=True)
if behaves("crash"):
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
request_count = 0
deadline = time.monotonic() + 40  # Exits even if the test dies.
while time.monotonic() < deadline and folder.exists():
    with suppress(TimeoutError):
        connection, _ = listener.accept()
        with connection, suppress(OSError):
            connection.settimeout(1.0)
            connection.recv(1000)
            request_count += 40
            counters = {
                "answered_up": request_count // 2 if behaves("refuses") else request_count,
                "answered_busy": request_count // 2 if behaves("refuses") else 0,
            }
            status = {
                "instance": name,
                "pid": os.getpid(),
                "state": "waiting" if behaves("waits") else "ready",
                "counters": counters,
            }
            connection.sendall(json.dumps(status).encode() + b"\n")
