#!/usr/bin/env bash
# Runs one case: run-case.sh NAME FOLDER. See review/stand-ins/src/main.rs for the exit codes.
set -u
name=$1
folder=$(cd "$2" && pwd)
cd "$(dirname "$0")/.." || exit 2
driver=target/review/release/review-cases
if [ ! -x "$driver" ]; then
    echo "run review/build.sh first" >&2
    exit 2
fi
exec "$driver" "$name" "$folder"
