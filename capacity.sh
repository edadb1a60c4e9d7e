#!/usr/bin/env bash
# Measures what control costs a daemon at several sizes on loopback, and prints
# the table of docs/CAPACITY.md. Each size is daemons, endpoints and failure
# domains; it takes about a minute and a half.
set -euo pipefail
cd "$(dirname "$0")"

sizes=${CAPACITY_SIZES:-"9:60:3 20:120:5 40:180:11 80:240:11"}
rows=${CAPACITY_ROWS:-$(mktemp "${TMPDIR:-/tmp}/chead-capacity.XXXXXX")} # kept where named
world=

finish() {
	[ -z "$world" ] || kill "$world" 2>/dev/null || true
	[ -n "${CAPACITY_ROWS:-}" ] || rm -f "$rows"
}
trap finish EXIT

for size in $sizes; do
	IFS=: read -r daemons runners domains <<<"$size"
	bin/chsize world --runners "$runners" --domains "$domains" &
	world=$!
	bin/chsize daemons --daemons "$daemons" --runners "$runners" --domains "$domains" >>"$rows"
	kill "$world"
	wait "$world" 2>/dev/null || true
	world=
done
bin/chsize fit "$rows"
