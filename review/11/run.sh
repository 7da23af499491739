#!/usr/bin/env bash
# Plays case 11 after the build of the deploy file and review/build-3.sh. Exit status:
# 1 if FLOW was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 plays it
# without the disruption.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
[ -x target/trefoilweir ] && [ -x target/review-3/standin3 ] || exit 2
exec timeout --kill-after=5 110 target/review-3/standin3 -case stray-probes -record "$here/record.txt"
