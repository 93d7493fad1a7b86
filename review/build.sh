#!/bin/sh
# Builds the stand-ins that the cases start: the project's own, and ours. They
# are Python, and use only the libraries that deploy/build.sh has installed; so
# this compiles them where the checkout can be written, and loads them.
set -eu
cd "$(dirname "$0")/.."
if [ ! -d target/deps ]; then
    echo 'run the build of deploy/system.toml first' >&2
    exit 1
fi
python3 -m compileall -q standins soak review || true
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="target/deps:.:review" \
    python3 -c 'import harness'
