"""How the relay starts: without words it is the platform's, and loads nothing of the command line."""

import os
import subprocess
import sys

import glenfold

# The run line's import of the program, then its look at a configuration that isn't there.
PLATFORM = """
import sys
sys.argv = ["glenfold"]
from glenfold.__main__ import main
status = main()
kept_out = {"click", "rich", "msgspec", "numpy", "hdrhistogram", "matplotlib", "jinja2", "psutil", "tomlkit"}
print(status, sorted(name for name in sys.modules if name.split(".")[0] in kept_out | {"glenfold_lab"}))
"""


def run(*words: str, **environment: str) -> subprocess.CompletedProcess[str]:
    kept = {name: value for name, value in os.environ.items() if not name.startswith("LB_")}
    return subprocess.run([sys.executable, *words], env=kept | environment, capture_output=True, text=True)


def test_without_words_it_is_the_platforms_relay_and_imports_nothing_of_the_command_line():
    done = run("-c", PLATFORM)
    assert done.stdout == "2 []\n"
    assert "LB_CONFIG" in done.stderr


def test_an_idle_relay_stays_lean():
    code = ("import resource; import glenfold.__main__;"
            "print(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024)")
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
    assert not [line for line in done.stderr.splitlines()
                if line.split("|")[-1].strip().split(".")[0] in ("numpy", "matplotlib", "rich")]


def test_without_click_a_word_is_refused_with_what_to_install():
    done = run("-c", "import sys; sys.modules['click'] = None; sys.argv = ['glenfold', '--version'];"
                     "from glenfold.__main__ import run; run()")
    assert done.returncode == 2
    assert done.stderr == "the command line needs the package click: pip install glenfold\n"
