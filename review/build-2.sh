#!/bin/sh
# Builds the stand-ins of the second review into target/review-2.
set -eu
cd "$(dirname "$0")/.."
exec cargo build --release --locked --offline --manifest-path review/standin-2/Cargo.toml --target-dir target/review-2
