#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10: target/review-cases-2.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/review-cases-2 ./review/_cases-2
