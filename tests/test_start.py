"""How the relay starts: without words it is the platform's, and loads nothing of the command line."""

import os
import signal
import socket
import subprocess
import sys
import threading
import tomllib
from pathlib import Path

import pytest
import relaying

import glenfold

# The run line's import of the program, then its look at a configuration that isn't there.
PLATFORM = """
import sys
sys.argv = ["glenfold"]
from glenfold.__main__ import main
status = main()
kept_out_parts = ("glenfold.replica", "glenfold.rules.replication", "glenfold.config.replica", "glenfold.cli")
kept_out = {"click", "rich", "msgspec", "numpy", "hdrhistogram", "matplotlib", "jinja2", "psutil", "tomlkit"}
print(
    status,
    sorted(name for name in sys.modules if name.split(".")[0] in kept_out | {"glenfold_lab"}),
    sorted(name for name in sys.modules if name.startswith(kept_out_parts)),
)
"""


def run(*words: str, **environment: str) -> subprocess.CompletedProcess[str]:
    kept = {name: value for name, value in os.environ.items() if not name.startswith("LB_")}
    return subprocess.run([sys.executable, *words], env=kept | environment, capture_output=True, text=True)


def test_without_words_it_is_the_platforms_relay_and_imports_nothing_of_the_command_line():
    done = run("-c", PLATFORM)
    assert done.stdout == "2 [] []\n"
    assert "LB_CONFIG" in done.stderr


def test_an_idle_relay_stays_lean():
    code = (
        "import resource; import glenfold.__main__;"
        "print(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024)"
    )
    bare = run("-c", code.replace("glenfold.__main__", "trio, h11, loguru"))
    with_relay = run("-c", code)
    assert float(with_relay.stdout) < float(bare.stdout) + 5.0


def test_it_tells_its_version():
    assert run("-m", "glenfold", "--version").stdout == f"glenfold {glenfold.__version__}\n"


def test_an_unknown_word_is_refused_with_status_2():
    done = run("-m", "glenfold", "labb")
    assert done.returncode == 2 and "No such command 'labb'" in done.stderr


def test_the_lab_lists_its_commands_without_loading_any():
    done = run("-X", "importtime", "-m", "glenfold", "lab", "--help")
    assert "report" in done.stdout and "demo" in done.stdout
    assert not [
        line
        for line in done.stderr.splitlines()
        if line.split("|")[-1].strip().split(".")[0] in ("numpy", "matplotlib", "rich")
    ]


def test_without_click_a_word_is_refused_with_what_to_install():
    done = run(
        "-c",
        "import sys; sys.modules['click'] = None; sys.argv = ['glenfold', '--version'];"
        "from glenfold.__main__ import run; run()",
    )
    assert done.returncode == 2
    assert done.stderr == "the command line needs the package click: pip install glenfold\n"


# ---- signals that come when nobody heeds them yet, or any more ----

ROOT = Path(__file__).parents[1]
ALL = "for name in ('HUP', 'USR1', 'TERM', 'INT'): os.kill(os.getpid(), signal.Signals[f'SIG{name}'])"
BEGIN = "import os, signal, sys; from glenfold import events, logs; from glenfold.daemon import platform\n"
MAIN = "sys.argv = ['glenfold']; from glenfold.__main__ import run; run()\n"
EARLY = f"""{BEGIN}
def read(environment, real=platform.read_config):
    config = real(environment)
    os.kill(os.getpid(), signal.SIGHUP)
    return config
platform.read_config = read
{MAIN}"""
EARLY_RUN = """
import os, signal, sys
from glenfold.config import operators
def read(*given, real=operators.read):
    found = real(*given)
    os.kill(os.getpid(), signal.SIGHUP)
    return found
operators.read = read
from glenfold.__main__ import run; run()
"""
FILE = """format = 1
[instance]
name = "a"
[listeners]
addresses = ["127.0.0.1:{}"]
[list]
discovery = "127.0.0.1:9"
[[settings.classes]]
name = "watch"
"""
LATE = f"""{BEGIN}
import threading, time  # another thread would take what the first one blocks
threading.Thread(target=time.sleep, args=(600,), daemon=True).start()
def wrapped(real):
    def last(**given):
        real(**given)
        {ALL}
    return last
events.relay_exit, logs.finish = wrapped(events.relay_exit), wrapped(logs.finish)
{MAIN}"""
DEPLOYED = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"].replace(
    "exec .venv/bin/python", f"kill -HUP $$; kill -USR1 $$; exec {sys.executable}"
)


@pytest.mark.parametrize(
    ("words", "logged"),
    [
        ([sys.executable, "-c", EARLY], "read again; discovery is at 127.0.0.1:9"),
        (
            [sys.executable, "-c", EARLY_RUN, "run", "glenfold.toml"],
            "read again; discovery is at 127.0.0.1:9",
        ),
        ([sys.executable, "-c", LATE], "relay listens"),
        (["/bin/sh", "-c", DEPLOYED], "relay listens"),
    ],
    ids=["before the handler", "the same by an operators' file", "behind the handler", "before the program"],
)
def test_no_signal_ends_a_relay_that_heeds_it_not_yet_or_no_more(words, logged, tmp_path):
    with socket.create_server(("127.0.0.1", 0)) as free:
        port = free.getsockname()[1]
    relaying.write_config(tmp_path, listen=f"127.0.0.1:{port}")
    (tmp_path / "glenfold.toml").write_text(FILE.format(port))
    words = [str(tmp_path / word) if word == "glenfold.toml" else word for word in words]
    environment = os.environ | {"LB_CONFIG": str(tmp_path / "config.json")}
    with subprocess.Popen(words, cwd=ROOT, env=environment, stderr=subprocess.PIPE, text=True) as relay:
        late = threading.Timer(20.0, relay.kill)
        late.start()
        for line in relay.stderr:
            if logged in line:
                break
        else:
            raise AssertionError(f"it ended with {relay.wait()}")
        relay.send_signal(signal.SIGTERM)
        relay.stderr.read()
        assert relay.wait() == 0
        late.cancel()
