#!/bin/sh
# The stand-ins of the scripts are one Python file, which needs only the
# libraries that the build of the deploy file has put into target/deps.
set -eu
cd "$(dirname "$0")"
PYTHONPATH=../target/deps python3 -c "import world_2"
