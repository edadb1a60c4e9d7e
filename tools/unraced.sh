#!/usr/bin/env bash
# Runs a test binary that has the race detector, as go test -exec does in a package's folder.
# Where the detector itself crashes, which says nothing of the tests, they run without it,
# and the package is added to the file that UNRACED names. A test that failed and a race that
# was found stand as they are.
set -u
output=$(mktemp)
plain=$(mktemp)
trap 'rm -f "$output" "$plain"' EXIT

"$@" 2>&1 | tee "$output"
status=${PIPESTATUS[0]}
if [ "$status" = 0 ] || grep -qE -e '^ *--- FAIL' -e 'WARNING: DATA RACE' -e '^panic: ' "$output"; then
	exit "$status"
fi
if ! grep -q 'ThreadSanitizer: CHECK failed' "$output"; then
	exit "$status"
fi
echo "$PWD: $(grep -m 1 'ThreadSanitizer' "$output")" >>"$UNRACED"
go test -c -o "$plain" . && "$plain" "${@:2}"
