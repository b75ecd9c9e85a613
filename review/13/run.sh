#!/usr/bin/env bash
# Case 13: a request that was sent during a suspension arrives after its client has sent the job again.
# TROUBLE=0 does the same without the disruption; the driver reads the variable.
export TROUBLE="${TROUBLE:-1}"
if [ "$TROUBLE" != 0 ] && [ "$TROUBLE" != 1 ]; then
    echo "TROUBLE is $TROUBLE; expected 0 or 1" >&2
    exit 2
fi
folder=$(cd "$(dirname "$0")" && pwd)
exec bash "$folder/../run-case-3.sh" stale "$folder"
