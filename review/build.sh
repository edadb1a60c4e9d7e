#!/bin/bash
# Builds the stand-ins of the scripted cases, after the build of the deploy file. They are
# test code, so they are built as the binary of a test.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
go test -c -vet=off -buildvcs=false -tags review -o target/review/stand ./review/stand
