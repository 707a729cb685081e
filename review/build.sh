#!/bin/sh
# Builds the stand-ins of the review. They are plain Python files that use only
# libraries that the build of the deploy file has put under target/deps, so
# there is nothing to fetch; this checks that they compile and import.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root"
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="$root/target/deps:$root/review" \
  python3 -c 'import standin_store, standin_worker, deployment'
