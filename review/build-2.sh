#!/bin/sh
# Prepares the cases from 6 on: their stand-ins are Python and need nothing but the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
test -x .venv/bin/python || { echo "build-2: run the build of the deploy file first" >&2; exit 1; }
.venv/bin/python -m compileall -q review
