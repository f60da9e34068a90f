#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/spurlugd ] && [ -x target/review-2/worker ] && [ -x target/review-2/late_drain ] || exit 2
folder=$(mktemp -d) || exit 2
target/review-2/late_drain review/7/record.txt "$folder"
result=$?
rm -rf "$folder"
[ "$result" -le 1 ] && exit "$result"
exit 2
