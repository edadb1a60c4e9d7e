#!/usr/bin/env bash
# Runs the whole system as separate processes on loopback, sends a load, kills
# an endpoint under it, and waits for its replica to be whole again from a
# spare. Succeeds only if no request was lost, doubled or refused untruly.
set -euo pipefail
cd "$(dirname "$0")"

store=127.0.0.1:17001
plain=127.0.0.1:17002
operator=http://127.0.0.1:17113
requests=${DEMO_REQUESTS:-800}
rate=${DEMO_RATE:-40} # requests a second

logs=$(mktemp -d "${TMPDIR:-/tmp}/chead-demo.XXXXXX")
declare -A pids=()
began=$SECONDS

# start NAME COMMAND... runs a command in the background, with a log.
start() {
	local name=$1
	shift
	"$@" >"$logs/$name.log" 2>&1 &
	pids[$name]=$!
}

# finish ends all that was started, daemons first.
finish() {
	local code=$?
	trap - EXIT
	[ ${#pids[@]} -eq 0 ] || kill "${pids[@]}" 2>/dev/null || true
	local deadline=$((SECONDS + 5)) pid
	for pid in "${pids[@]}"; do
		while kill -0 "$pid" 2>/dev/null && [ $SECONDS -lt $deadline ]; do sleep 0.1; done
		kill -9 "$pid" 2>/dev/null || true
	done
	wait 2>/dev/null || true
	echo "The demo took $((SECONDS - began)) s; logs are in $logs"
	exit "$code"
}
trap finish EXIT
trap 'exit 130' INT TERM

# await SECONDS TEXT COMMAND... waits until a command succeeds.
await() {
	local deadline=$((SECONDS + $1)) text=$2
	shift 2
	until "$@" >/dev/null 2>&1; do
		if [ $SECONDS -ge $deadline ]; then
			echo "gave up waiting until $text" >&2
			exit 1
		fi
		sleep 0.2
	done
	echo "$text"
}

listening() { (: <"/dev/tcp/${1%:*}/${1#*:}"); }
