#!/usr/bin/env bash
# Runs the case: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
for program in target/cardamomline target/review-cases; do
	if [ ! -x "$program" ]; then
		echo "$program is missing: run the build of the deploy file and review/build.sh"
		exit 2
	fi
done
exec target/review-cases order "review/5/record.txt"
