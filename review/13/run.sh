#!/usr/bin/env bash
# Case 13: a worker starts again as another kind.
folder=$(cd "$(dirname "$0")" && pwd)
exec bash "$folder/../run-case-3.sh" kind "$folder"
