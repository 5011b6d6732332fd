#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, after the build line of deploy/balancer.toml. They need no package.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/harness2.py review/6 review/7 review/8 review/9 review/10
