#!/usr/bin/env bash
# Start three control processes, three entries and three upstreams on loopback.
# Run from the root of the repository after "make setup"; Ctrl-C stops all.
set -eu
PATH="$PWD/.venv/bin:$PATH"
trap 'kill $(jobs -p)' EXIT
sardinemastd examples/local/control-1.yaml &
sardinemastd examples/local/control-2.yaml &
sardinemastd examples/local/control-3.yaml &
sardinemastd examples/local/entry-1.yaml &
sardinemastd examples/local/entry-2.yaml &
sardinemastd examples/local/entry-3.yaml &
python -m sardinemast.standins upstream enrol-1 enrolment 127.0.0.1:8081,127.0.0.1:8082 &
python -m sardinemast.standins upstream enrol-2 enrolment 127.0.0.1:8082,127.0.0.1:8083 &
python -m sardinemast.standins upstream enrol-3 enrolment 127.0.0.1:8083,127.0.0.1:8081 &
wait
