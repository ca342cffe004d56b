#!/bin/sh
# Put the libraries and the package under target/deps, where Python finds them.
set -eu
lock=deploy/requirements.txt
done=target/deps/.installed
if ! [ "$done" -nt "$lock" ]; then
    rm -rf target/deps
    python3 -m pip install --quiet --disable-pip-version-check \
        --target target/deps -r "$lock"
    touch "$done"
fi
rm -rf target/deps/sardinemast
cp -r src/sardinemast target/deps/sardinemast
