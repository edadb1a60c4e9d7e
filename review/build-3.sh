#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15, which are test code, as the binary of a test:
# target/review-3/stand plays the case that the variable CASE names.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
go test -c -vet=off -buildvcs=false -tags review -o target/review-3/stand ./review/stand-4
