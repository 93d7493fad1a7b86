#!/bin/sh
# Runs the case in the folder given as the first argument.
set -u
case_dir=$(cd "$1" && pwd)
root=$(cd "$case_dir/../.." && pwd)
cd "$root" || exit 2
if [ ! -f target/platform/start.py ] || [ ! -d target/deps ]; then
    echo 'could not run: the deploy file is not built'
    exit 2
fi
PYTHONPATH="$root/target/deps:$root" PYTHONDONTWRITEBYTECODE=1 \
    timeout -k 5 116 python3 "$case_dir/case.py"
status=$?
# Any other end than a verdict, such as an exception, means that it did not run.
case $status in
0 | 1) ;;
*) exit 2 ;;
esac
if ! tail -n 1 "$case_dir/record.txt" | grep -q 'verdict:'; then
    exit 2
fi
exit $status
