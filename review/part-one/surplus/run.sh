#!/bin/sh
# Plays the case and writes record.txt beside this file; see claim.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../../.." || exit 2
[ -x target/release/review-standins-3 ] || exit 2
exec target/release/review-standins-3 surplus review/part-one/surplus
