#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$here/../.." && pwd) || exit 2
[ -x "$root/target/spurmoor" ] && [ -x "$root/review/.build/stand" ] || { echo "build first"; exit 2; }
cd "$root" || exit 2
timeout -k 3 116 review/.build/stand gang "$root" "$here/record.txt"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
