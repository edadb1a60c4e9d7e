#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6 to 10 start. They are test code, so they are
# built as the binaries of tests. They need Go alone, no modules and no network. The daemons come
# from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
export GOFLAGS=-mod=mod GOWORK=off
(cd stand-2 && go test -c -vet=off -buildvcs=false -o ../../target/review-2/stand .)
(cd stand-3 && go test -c -vet=off -buildvcs=false -o ../../target/review-2/stand-3 .)
