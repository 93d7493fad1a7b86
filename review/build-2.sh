#!/bin/sh
# Builds what the scripts of the second review start, beside the programs of
# deploy/system.toml. The stand-ins (review/standins_2.py) need Python 3.11 and
# nothing else, so they are only compiled, to find an unsuitable interpreter.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
python3 -m py_compile standins_2.py 6/run.py
