#!/usr/bin/env bash
# Measures an entry host on this machine: starts stand-ins and one entry host, offers load, stops
# what it started. Arguments go to `bramley-load overhead`, for example `--rate 1000 --tasks 1`.
set -euo pipefail
cd "$(dirname "$0")/../.."
source docs/measurements/common.sh

launch platform "$bin/bramley-platform-stand-in" --listen 127.0.0.1:0
platform=$(address platform address)
records=""
direct=()
for number in $(seq 1 24); do
    launch "worker$number" "$bin/bramley-worker-stand-in" --listen 127.0.0.1:0 --slots 16
    records+="${records:+,}{\"name\":\"worker-$number\",\"address\":\"$(address "worker$number" address)\","
    records+="\"failure_domain\":\"north\",\"rack\":\"r\",\"slots\":16,\"memory_mib\":1024,\"state\":\"live\"}"
done
for number in 1 2; do
    launch "direct$number" "$bin/bramley-worker-stand-in" --listen 127.0.0.1:0 --slots 16
    direct+=(--direct-worker "$(address "direct$number" address)")
done
curl -fsS -X POST "http://$platform/workers" -d "{\"revision\":1,\"workers\":[$records]}" >/dev/null
cat >"$folder/configuration.jsonc" <<'J'
{
  "deployment": "overhead",
  "failure_domains": ["north"],
  "teams": [{"name": "load", "max_running_tasks": 100000, "max_job_tasks": 500, "weight": 1,
    "classes": [{"name": "short", "expected_run_ms": 10, "answer_within_ms": 30000}]}]
}
J
"$bin/bramleyctl" apply --platform "$platform" "$folder/configuration.jsonc" >/dev/null
cat >"$folder/entry.jsonc" <<J
{
  "host": "north-1", "failure_domain": "north", "platform_address": "$platform",
  "caller_address": "127.0.0.1:0", "peer_address": "127.0.0.1:0", "control_address": "127.0.0.1:0",
  "threads": ${THREADS:-4}, "log": "warn", "limits": {"max_kept_outcomes": 1000000}
}
J
launch entry "$bin/bramley-entry" --settings "$folder/entry.jsonc"
entry_process=${started[-1]}
until curl -fsS "http://$(address entry callers)/health" >/dev/null 2>&1; do sleep 0.1; done
sleep 2
"$bin/bramley-load" overhead --entry "$(address entry callers)" "${direct[@]}" \
    --team load --class short --process "$entry_process" "$@"
