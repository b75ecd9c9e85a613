#!/usr/bin/env bash
# Measures what control costs an idle entry host on this machine: starts a platform stand-in and
# HOSTS entry hosts in DOMAINS failure domains with WORKERS listed workers, waits, and prints the
# means of all hosts over SECONDS: control messages and bytes, time, memory and store calls.
set -euo pipefail
cd "$(dirname "$0")/../.."
hosts=${1:-7} workers=${2:-50} domains=${3:-3} seconds=${4:-30}
source docs/measurements/common.sh

launch platform "$bin/bramley-platform-stand-in" --listen 127.0.0.1:0
platform=$(address platform address)
records=""
for number in $(seq 1 "$workers"); do
    records+="${records:+,}{\"name\":\"worker-$number\",\"address\":\"127.0.0.1:$((20000 + number))\","
    records+="\"failure_domain\":\"domain-$((number % domains))\",\"rack\":\"rack-$((number / 8))\","
    records+="\"slots\":8,\"memory_mib\":65536,\"state\":\"live\"}"
done
curl -fsS -X POST "http://$platform/workers" -d "{\"revision\":1,\"workers\":[$records]}" >/dev/null
list=""
for number in $(seq 0 $((domains - 1))); do list+="${list:+,}\"domain-$number\""; done
cat >"$folder/configuration.jsonc" <<J
{ "deployment": "idle", "failure_domains": [$list], "teams": [{"name": "load"}] }
J
"$bin/bramleyctl" apply --platform "$platform" "$folder/configuration.jsonc" >/dev/null
siblings=""
processes=()
for number in $(seq 1 "$hosts"); do
    cat >"$folder/entry.jsonc" <<J
{ "host": "host-$number", "failure_domain": "domain-$((number % domains))",
  "platform_address": "$platform", "caller_address": "127.0.0.1:0", "peer_address": "127.0.0.1:0",
  "control_address": "127.0.0.1:0", "siblings": [$siblings], "log": "warn" }
J
    launch "entry$number" "$bin/bramley-entry" --settings "$folder/entry.jsonc"
    processes+=("${started[-1]}")
    if [ "$number" -le 3 ]; then
        siblings+="${siblings:+,}\"$(address "entry$number" peers)\""
    fi
done
sleep 15
sample() { # sums the named metrics and processor time over all hosts
    for number in $(seq 1 "$hosts"); do
        curl -fsS "http://$(address "entry$number" callers)/metrics"
    done | awk '/^bramley_control_messages_total/ {m+=$2} /^bramley_control_bytes_total/ {b+=$2}
        /^bramley_control_seconds_total/ {s+=$2} /^bramley_store_(reads|watches)_total/ {c+=$2}
        /^bramley_store_bytes_total/ {k+=$2} END {printf "%d %d %.6f %d %d", m, b, s, c, k}'
    cat $(printf '/proc/%s/stat ' "${processes[@]}") | awk '{t+=$14+$15} END {printf " %d\n", t}'
}
before=$(sample)
sleep "$seconds"
after=$(sample)
memory=$(cat $(printf '/proc/%s/status ' "${processes[@]}") | awk '/^VmRSS/ {t+=$2} END {print t}')
echo "$before $after" | awk -v n="$hosts" -v w="$workers" -v t="$seconds" -v mem="$memory" '{
    printf "hosts=%d workers=%d messages/s=%.1f bytes/s=%.0f control_us/s=%.0f store_calls/s=%.2f store_bytes/s=%.0f process_cpu_percent=%.2f resident_kib=%.0f\n",
        n, w, ($7-$1)/n/t, ($8-$2)/n/t, ($9-$3)*1e6/n/t, ($10-$4)/n/t, ($11-$5)/n/t, ($12-$6)/n/t, mem/n }'
