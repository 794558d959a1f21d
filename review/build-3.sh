#!/bin/sh
# Builds what the scripts of review/11 and later start. All of it is Python: the stand-ins of the
# project, and those in support-3. They use the packages that the build of the deploy file installs.
set -e
cd "$(dirname "$0")/.."
test -d target/deps || { echo "build the deploy file first: target/deps is missing" >&2; exit 1; }
PYTHONPATH=target/deps:src python3 -c "import tanagerfork_standins.platform.site"
python3 -m py_compile review/support-3/*.py review/1[1-5]/play.py
