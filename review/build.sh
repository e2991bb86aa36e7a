#!/bin/sh
# Builds the stand-ins of the cases. They need nothing beyond the interpreter that `build` of the deploy file made.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q wickgw review
