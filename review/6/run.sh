#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# the disruption out. Writes record.txt beside this file.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
program=target/release/violetline
stand_in=target/review-2/case-$(basename "$folder")
[ -x "$program" ] && [ -x "$stand_in" ] || { echo "build the program and review/build-2.sh first"; exit 2; }
timeout -k 5 110 "$stand_in" "$program" "$folder"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
