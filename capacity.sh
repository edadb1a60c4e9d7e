#!/usr/bin/env bash
# Measures the cost of control traffic and control work for a daemon, at several
# sizes on loopback, and prints the table of docs/CAPACITY.md. A size is
# daemons:endpoints:failure domains, and takes about a minute and a half.
set -euo pipefail
cd "$(dirname "$0")"

sizes=${CAPACITY_SIZES:-"9:60:3 20:120:5 40:180:11 80:240:11"}
rows=${CAPACITY_ROWS:-$(mktemp "${TMPDIR:-/tmp}/chead-capacity.XXXXXX")} # the file is kept if CAPACITY_ROWS names it
simulation=

finish() {
	[ -z "$simulation" ] || kill "$simulation" 2>/dev/null || true
	[ -n "${CAPACITY_ROWS:-}" ] || rm -f "$rows"
}
trap finish EXIT

for size in $sizes; do
	IFS=: read -r daemons runners domains <<<"$size"
	bin/chsize world --runners "$runners" --domains "$domains" &
	simulation=$!
	bin/chsize daemons --daemons "$daemons" --runners "$runners" --domains "$domains" >>"$rows"
	kill "$simulation"
	wait "$simulation" 2>/dev/null || true
	simulation=
done
bin/chsize fit "$rows"
