#!/usr/bin/env bash
# Builds the programs of the cases 11 to 15, with all their stand-ins, into target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
go build -buildvcs=false -tags review -o target/review-3/ ./review/stand-4/...
