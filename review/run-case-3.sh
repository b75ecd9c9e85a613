#!/usr/bin/env bash
# Runs a script of the third review: run-case-3.sh CASE FOLDER. Exits with 1 if the rule was broken, 0
# if it held and 2 if the case could not run. TROUBLE=0 leaves out the disruption.
set -u
root=$(cd "$(dirname "$0")/.." && pwd)
program="$root/target/review-3/release/bramley-review-3"
for file in "$program" "$root/target/release/bramley-dock"; do
    if [ ! -x "$file" ]; then
        echo "$(basename "$file") is not built" >&2
        exit 2
    fi
done
cd "$root" || exit 2
exec "$program" "$1" "$2" "$root"
