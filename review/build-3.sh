#!/bin/sh
# Builds the stand-ins that the scripts of this review start. They have no dependencies.
set -eu
cd "$(dirname "$0")/standin-3"
cargo build --release --locked --offline
