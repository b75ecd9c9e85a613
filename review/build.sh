#!/usr/bin/env bash
# Builds the drivers and stand-ins of the cases, without a network. The program under review is built
# by the command of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
exec cargo build --release --locked --offline \
    --manifest-path review/stand-ins/Cargo.toml --target-dir target/review
