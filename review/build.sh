#!/bin/sh
# Builds the stand-ins of the cases. They are Python of the standard library alone, run by the deploy file's .venv:
# here they are only checked to compile.
set -eu
cd "$(dirname "$0")/.."
test -x .venv/bin/python || { echo "run the build line of deploy/balancer.toml first" >&2; exit 2; }
.venv/bin/python - review/standins.py review/*/case.py <<'END'
import sys
from pathlib import Path

for path in sys.argv[1:]:
    compile(Path(path).read_text("utf-8"), path, "exec")
END
