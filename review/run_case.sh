#!/bin/sh
# Runs case.py in the folder that is given; exits with its code.
set -u
case_dir=$(cd "$1" && pwd)
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root" || exit 2
[ -d target/deps ] || exit 2
PYTHONDONTWRITEBYTECODE=1
PYTHONPATH="$root/target/deps:$root/review"
export PYTHONDONTWRITEBYTECODE PYTHONPATH
rm -f "$case_dir/record.txt"
python3 "$case_dir/case.py" "$case_dir/record.txt"
status=$?
# A script that fails by itself exits with 1, too, but leaves no verdict.
case "$status $(tail -n 1 "$case_dir/record.txt" 2>/dev/null)" in
  "1 BROKEN: "*) exit 1 ;;
  "0 held") exit 0 ;;
  *) exit 2 ;;
esac
