#!/usr/bin/env bash
# Runs one scripted case of the second review: run-case-2.sh CASE FOLDER. TROUBLE=0 leaves out the
# disruption; the driver reads the variable.
set -uo pipefail
case_name="$1"
folder="$(cd "$2" && pwd)" || exit 2
cd "$(dirname "$0")/.." || exit 2
for program in target/release/bramley-dock target/review-2/release/review-cases-2; do
    if [ ! -x "$program" ]; then
        echo "not run: $program is not built"
        exit 2
    fi
done
exec target/review-2/release/review-cases-2 "$case_name" "$folder"
