#!/bin/sh
# Compiles the stand-ins of the cases, which need nothing but the environment of `sh deploy/build`.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
