#!/bin/bash
# Builds the stand-ins of the scripted cases, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -buildvcs=false -tags review -o target/review/stand ./review/stand
