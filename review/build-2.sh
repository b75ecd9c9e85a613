#!/usr/bin/env bash
# Builds the stand-ins of the second review, the project's own among them. The program itself comes
# from the build command of deploy/system.toml. Needs no network once the packages are there.
set -euo pipefail
cd "$(dirname "$0")/.."
CARGO_TARGET_DIR="$PWD/target/review-2" cargo build --release --locked --offline \
    --manifest-path review/stand-ins-2/Cargo.toml
