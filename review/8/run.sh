#!/bin/sh
# Case 8. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves out the disruption. Needs the build of the deploy file and build-2.sh.
set -u
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x target/spurmoor ] && [ -x target/review-lab ] || exit 2
folder=$(mktemp -d) || exit 2
# The controllers are children of review-lab and end with it.
target/review-lab quarantine "$here/record.txt" "$folder" &
lab=$!
trap 'kill "$lab" 2>/dev/null' INT TERM
wait "$lab"
code=$?
rm -rf "$folder"
case $code in 0 | 1) exit "$code" ;; *) exit 2 ;; esac
