#!/usr/bin/env bash
# Builds the stand-ins of the review cases. Works without a network: there are no dependencies.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --quiet \
    --manifest-path review/standin/Cargo.toml --target-dir target/review
