#!/bin/sh
# Build the stand-ins: they need Python's standard library only.
set -eu
python3 -m compileall -q "$(dirname "$0")"
