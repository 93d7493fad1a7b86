#!/bin/sh
# Builds everything that the roles of deploy/system.toml need, under target/.
set -eu
mkdir -p target/deps
if ! cmp -s deploy/requirements.txt target/requirements.done; then
    python3 -m pip install -q -U --target target/deps \
        -r deploy/requirements.txt
    cp deploy/requirements.txt target/requirements.done
fi
rm -rf target/deps/anvilthread target/platform
cp -R anvilthread target/deps/anvilthread
cp -R platform target/platform
python3 -m compileall -q target/deps target/platform
