#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run; writes record.txt. TROUBLE=0 leaves the
# disruption out.
cd "$(dirname "$0")/../.." || exit 2
test -x .venv/bin/python || exit 2
.venv/bin/python -B "$(pwd)/review/3/case.py"
case $? in
0) exit 0 ;;
10) exit 1 ;; # Python itself ends with 1 on an error of the script.
*) exit 2 ;;
esac
