#!/usr/bin/env bash
# Runs the system as on the users' platform, as separate processes on loopback:
# a stand-in for the store, six model runners in one fabric domain and three
# daemons. During a load it kills the runner that leads a group, and then the
# daemon that is the keeper of the groups. Succeeds only if every request got its
# complete answer. docs/DEMO.md explains the output.
set -euo pipefail
cd "$(dirname "$0")"

ports=${DEMO_PORTS:-18} # first two digits of all ports
logs=$(mktemp -d "${TMPDIR:-/tmp}/chead-site.XXXXXX")
store=127.0.0.1:${ports}001
declare -A pids=()

# start NAME COMMAND... runs a command in the background and logs its output.
start() {
	local name=$1
	shift
	"$@" >"$logs/$name.log" 2>&1 &
	pids[$name]=$!
}

# finish ends all processes that this script started, by process id.
finish() {
	local code=$?
	trap - EXIT
	kill "${pids[@]}" 2>/dev/null || true
	sleep 1
	kill -9 "${pids[@]}" 2>/dev/null || true
	wait 2>/dev/null || true
	echo "logs are in $logs"
	exit "$code"
}
trap finish EXIT
trap 'exit 130' INT TERM

cat >"$logs/config.json" <<'JSON'
{"version":1,"routes":[{"name":"talk","host":"front.example","path_prefix":"/talk/","type":"streaming","timeout_ms":8000,"target_latency_ms":1000,"service":"engines","max_attempts":2,"resumable":true,"target_gap_ms":300}],
 "services":[{"name":"engines","health_path":"/healthz","max_connections":200,"engine":{"slots":16,"stride":1,"step_ms":20,"read_per_s":45000,"loads_per_s":5,"loads_at_once":7,"cached_prefixes":1,"report_lag_ms":50,"form_ms":50,"models":[{"name":"m","size":2,"traffic_share":1,"pace":1,"load_s":1,"warm_s":0.1}]}}],
 "limits":{"max_body_bytes":100000},"tenants":[{"name":"guild","api_keys":["good-key"]}]}
JSON

start store bin/chfake site --listen "$store" --config "$logs/config.json"
sleep 0.5
for i in 1 2 3 4 5 6; do
	start "runner$i" bin/chfake runner --id "r$i" --listen "127.0.0.1:${ports}1$i" --store "$store" --service engines --domain north --fabric f1
done
for i in 1 2 3; do
	cat >"$logs/d$i.json" <<JSON
{"id":"d$i","domain":"north","region":"r","caller":"127.0.0.1:${ports}2$i","ready":"127.0.0.1:${ports}3$i","guide":"127.0.0.1:${ports}4$i",
 "peer":"127.0.0.1:${ports}5$i","metrics":"127.0.0.1:${ports}6$i","store":"$store","revoke":5000,"apply":2000,"grace":8,"ratio":0.2,"extra":100,"window":10,"memory":284}
JSON
	start "d$i" bin/chead edge --settings "$logs/d$i.json"
done

# keeper prints the first daemon, by name, whose log says that it became keeper.
keeper() { grep -l '"keeper takes office"' "$logs"/d?.log | head -1 | sed 's/.*\(d[0-9]\).log/\1/'; }

sleep 4
start load bin/chfake caller --guides "127.0.0.1:${ports}42,127.0.0.1:${ports}43,127.0.0.1:${ports}41" --requests 400 --rate 40
sleep 3
leader=$(grep -h '"group serving"' "$logs"/d?.log | head -1 | sed 's/.*"members":"r\([0-9]\).*/\1/')
echo "kills runner r$leader, which leads a group"
kill -9 "${pids[runner$leader]}"
sleep 3
keeper=$(keeper)
echo "kills daemon $keeper, which orders the groups"
kill "${pids[$keeper]}"
wait "${pids[load]}" || { cat "$logs/load.log"; exit 1; }
cat "$logs/load.log"
