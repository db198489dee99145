#!/bin/sh
# Builds the stand-ins that the scripts of this review start, into target/review-3. They have no
# dependencies.
set -eu
cd "$(dirname "$0")/.."
exec cargo build --release --locked --offline --manifest-path review/standin-3/Cargo.toml --target-dir target/review-3
