#!/usr/bin/env bash
# Plays the case on the real programs; `TROUBLE=0` leaves the disruption out. Needs the build of the
# deploy file and review/build.sh. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# couldn't run.
cd "$(dirname "$0")/../.." || exit 2
driver=target/review/release/review-standin
for program in "$driver" target/release/gyard-platform; do
    [ -x "$program" ] || { echo "$program is not built"; exit 2; }
done
exec "$driver" late-heartbeats review/5
