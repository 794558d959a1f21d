#!/usr/bin/env bash
# Builds what the scripts of cases 6 to 10 start, after the build of the deploy file: the stand-ins
# are Python and need the packages in target/deps only, so they are imported once.
set -eu
cd "$(dirname "$0")/.."
[ -d target/deps ] || { echo 'run the build of deploy/system.toml first' >&2; exit 2; }
PYTHONPATH="target/deps:src:review/support-2" PYTHONDONTWRITEBYTECODE=1 python3 -c 'import bed, model_runners'
