#!/usr/bin/env bash
# Runs the whole system as separate processes on loopback, sends a load, kills
# an endpoint during the load, and waits until a spare instance has replaced it
# in its replica. Succeeds only if no request was lost, was run twice or got a
# refusal that was untrue, and no cold endpoint was overloaded. docs/DEMO.md
# explains the output.
set -euo pipefail
cd "$(dirname "$0")"

ports=${DEMO_PORTS:-17}       # first two digits of all ports
requests=${DEMO_REQUESTS:-800} # number of requests to send
rate=${DEMO_RATE:-40}          # requests per second
store=127.0.0.1:${ports}001
plain=127.0.0.1:${ports}002
operator=http://127.0.0.1:${ports}113
fabrics="north-1 north-2 south-1 south-2"
members="a b c d" # per fabric domain; one more than a replica needs

logs=$(mktemp -d "${TMPDIR:-/tmp}/chead-demo.XXXXXX")
declare -A pids=()
began=$SECONDS

# start NAME COMMAND... runs a command in the background and logs its output.
start() {
	local name=$1
	shift
	"$@" >"$logs/$name.log" 2>&1 &
	pids[$name]=$!
}

# finish ends all processes that this script started: first by SIGTERM, and
# after five seconds by SIGKILL.
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

# await SECONDS TEXT COMMAND... waits until a command succeeds, and fails after
# SECONDS.
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

# listening ADDRESS succeeds if a process listens at ADDRESS.
listening() { (: <"/dev/tcp/${1%:*}/${1#*:}"); }

status() { bin/chead status --operator "$operator"; }

# all_serving succeeds if every group has all the replicas that it should have.
all_serving() {
	status | awk -F': ' '
		/"wanted":/ { wanted = $2 + 0; groups++ }
		/"serving":/ && !/state/ { if ($2 + 0 < wanted) exit 1 }
		END { if (!groups) exit 1 }'
}

# rebuilt INSTANCE succeeds if every group is complete without INSTANCE.
rebuilt() { all_serving && ! status | grep -q "\"instance\": \"$1\""; }

# first_member prints the instance that takes the requests of the first replica
# in the status.
first_member() { status | awk -F'"' '/"instance":/ { print $4; exit }'; }

# adapted FILE prints an example file with the ports of this run.
adapted() { sed "s/127\.0\.0\.1:17/127.0.0.1:$ports/g" "$1"; }

! listening "$store" 2>/dev/null || {
	echo "port ${store#*:} is in use; choose others by DEMO_PORTS, such as 27" >&2
	exit 1
}

start store bin/chfake store --listen "$store" --weights 6
await 5 "the store listens" listening "$store"
start plain bin/chfake plain --listen "$plain" --store "http://$store"

port=${ports}200
for fabric in $fabrics; do
	for member in $members; do
		port=$((port + 1))
		start "$fabric-$member" bin/chfake engine --listen "127.0.0.1:$port" --id "$fabric-$member" \
			--fabric "$fabric" --domain "${fabric%-*}" --store "http://$store"
	done
done
for daemon in a b c; do
	adapted "examples/daemon-$daemon.json" >"$logs/settings-$daemon.json"
	start "daemon-$daemon" bin/chead serve --settings "$logs/settings-$daemon.json"
done
adapted examples/demo.json >"$logs/document.json"
await 10 "a daemon answers operators" status
await 10 "the configuration is accepted" bin/chead config put "$logs/document.json" --operator "$operator" --who demo
await 20 "every group has its replicas" all_serving

bin/chfake client --entry "127.0.0.1:${ports}111" --entry "127.0.0.1:${ports}121" --key demo-key \
	--model desk --model permits --service ledger --store "http://$store" \
	--requests "$requests" --rate "$rate" >"$logs/client.log" 2>&1 &
client=$!
pids[client]=$client
echo "a load of $requests requests begins, $rate a second"
sleep 4

victim=$(first_member)
disown "${pids[$victim]}" # the shell does not report its end
kill -9 "${pids[$victim]}"
unset "pids[$victim]"
killed=$(date +%s%3N)
echo "killed the endpoint of $victim"
await 20 "its replica is whole again from a spare" rebuilt "$victim"
echo "  $(($(date +%s%3N) - killed)) ms after the kill"

code=0
wait "$client" || code=$?
unset "pids[client]"
cat "$logs/client.log"
exit "$code"
