#!/bin/sh
# Runs the case; see claim.txt. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-2/release/review-standin-2 small-weights review/10
