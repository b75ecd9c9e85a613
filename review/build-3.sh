#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts, without a network.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root/review/stand-ins-3"
CARGO_TARGET_DIR="$root/target/review-3" cargo build --release --locked --offline
