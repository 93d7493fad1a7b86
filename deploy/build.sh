#!/bin/sh
# Builds everything that the roles of deploy/system.toml need, under target/.
set -eu
mkdir -p target/deps
if ! cmp -s deploy/requirements.txt target/requirements.done; then
    python3 -m pip install -q -U --target target/deps \
        -r deploy/requirements.txt
    cp deploy/requirements.txt target/requirements.done
fi
# Left alone if nothing has changed: a run that is under way uses these files.
if [ -n "$(find anvilthread platform -name '*.py' -newer target/built 2>&1)" ]
then
    rm -rf target/new
    mkdir target/new
    cp -R anvilthread platform target/new/
    python3 -m compileall -q target/deps target/new
    touch target/built
    rm -rf target/deps/anvilthread target/platform
    mv target/new/anvilthread target/deps/anvilthread
    mv target/new/platform target/platform
fi
