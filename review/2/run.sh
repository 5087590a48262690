#!/bin/sh
# Writes record.txt beside it. Exits with 1 if the gateway went over its memory limit, 0 if it kept to it, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x .venv/bin/python ] || exit 2
PYTHONPATH=. exec .venv/bin/python review/2/case.py
