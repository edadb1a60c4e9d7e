#!/usr/bin/env bash
# Builds the stand-in that the scripts of cases 6 to 9 start. It is test code, so it is built as
# the binary of a test. It needs Go alone, no modules and no network. The daemons come from the
# build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/stand-2"
GOFLAGS=-mod=mod GOWORK=off go test -c -vet=off -buildvcs=false -o ../../target/review-2/stand .
