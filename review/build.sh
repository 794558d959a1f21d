#!/bin/sh
# Checks that the stand-ins of the scripts can be loaded; they are Python and need no compilation.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:src:review/support PYTHONDONTWRITEBYTECODE=1 \
    python3 -c "import deployment, tanagerfork_standins.platform.partition, tanagerfork_standins.platform.runner, tanagerfork_standins.platform.site"
