#!/usr/bin/env bash
# Runs the platform, the fabric, balancers, agents and targets of booking and
# gallery on loopback under load. One balancer stops as planned, one is added,
# one target drains. Fails if the load report shows a violation.
set -euo pipefail
cd "$(dirname "$0")/.."

seed=${DEMO_SEED:-1}
logs=$PWD/demo-logs
# The addresses depend on the process ID, so that runs beside each other do not
# meet.
net=127.$((16 + $$ % 200)).$((1 + $$ / 200 % 250))
lab=bin/trefoilweir-lab
weir=bin/trefoilweir
fabric=$net.1
pids=()

start() { # start NAME COMMAND...: runs a process with its log in demo-logs
	local name=$1
	shift
	"$@" >"$logs/$name.out" 2>"$logs/$name.log" &
	pids+=($!)
	last=$!
}

stop_all() {
	for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
	for _ in $(seq 30); do
		jobs -r | grep -q . || return 0
		sleep 0.1
	done
	for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
}
trap stop_all EXIT

wait_ready() { # wait_ready NAME IP: waits until a process shows its status
	for _ in $(seq 100); do
		if $weir status --address "$2:7300" --ca "$logs/keys/ca.pem" \
			--certificate "$logs/keys/peer.pem" --key "$logs/keys/peer-key.pem" >/dev/null 2>&1; then return 0; fi
		sleep 0.1
	done
	echo "demo: $1 is not ready, see demo-logs/$1.log" >&2
	return 1
}

publish() { $lab publish --dir "$logs" --net "$net" "$@"; }

rm -rf "$logs"
mkdir -p "$logs"
targets=$($lab layout --dir "$logs" --net "$net")
start platform $lab platform --listen "$net.1:8500" --config "$logs/config.json" --vms "$logs/vms.json" --lag 100ms
start fabric $lab fabric --platform "http://$net.1:8500" --seed "$seed" \
	--service "booking=$fabric:4431" --service "gallery=$fabric:4432"
while read -r name service address slots speed; do
	start "target-$name" $lab target --name "$name" --service "$service" --listen "$address" \
		--slots "$slots" --speed "$speed" --log "$logs/logs/$name.jsonl"
	start "$name" $weir agent --settings "$logs/$name.json"
done <<<"$targets"
declare -A balancers
for i in 1 2 3; do
	start "balancer-$i" $weir balancer --settings "$logs/balancer-$i.json"
	balancers[$i]=$last
done
for i in 1 2 3; do wait_ready "balancer-$i" "$net.$((10 + i))"; done
while read -r name _ address _; do wait_ready "$name" "${address%:*}"; done <<<"$targets"

$lab load --service "booking=$fabric:4431" --service "gallery=$fabric:4432" --weight booking=7 --weight gallery=3 \
	--ca "$logs/keys/ca.pem" --target-log "$logs/logs/*.jsonl" --leaving "$logs/leaving.log" \
	--seed "$seed" --requests 2200 --rate 110 --work-ms 400 --check >"$logs/report.json" 2>"$logs/load.log" &
load=$!
pids+=($load)

sleep 3
echo "demo: balancer-1 stops as planned"
publish leaving balancer-1
sleep 1
kill -TERM "${balancers[1]}"
sleep 2
echo "demo: balancer-4 is added"
start balancer-4 $weir balancer --settings "$logs/balancer-4.json"
wait_ready balancer-4 $net.14
publish add-balancer 4
sleep 1
echo "demo: booking-2 drains"
publish drain booking-2

code=0
wait "$load" || code=$?
cat "$logs/report.json"
if kill -0 "${balancers[1]}" 2>/dev/null; then
	echo "demo: balancer-1 has not stopped" >&2
	code=1
fi
if [ "$code" -ne 0 ]; then
	tail -n 1 "$logs/load.log" >&2
	echo "demo: failed, see demo-logs" >&2
fi
exit "$code"
