#!/usr/bin/env bash
# Runs the case of a folder of review/. Exits with 1 if the rule was broken, 0 if it held, 2 if the
# case couldn't run, also if it failed by an error of its own.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH="target/deps:src:review/support-2" PYTHONDONTWRITEBYTECODE=1
python3 "review/$1/case.py" &
child=$!
trap 'kill -TERM "$child" 2>/dev/null' TERM INT
wait "$child"
status=$?
wait "$child" 2>/dev/null
case $status in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
