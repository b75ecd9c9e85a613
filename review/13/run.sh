#!/usr/bin/env bash
# Case 13: a request that was sent during a suspension arrives after its client has sent the job again.
folder=$(cd "$(dirname "$0")" && pwd)
exec bash "$folder/../run-case-3.sh" stale "$folder"
