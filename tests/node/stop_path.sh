#!/bin/bash
# Two nodes in turn shut down on SIGTERM under load: no request fails, none runs
# twice, and no request reaches the endpoint after its node has exited. Checks
# counts, not latencies.
# Usage: stop_path.sh BUILD_FOLDER
set -u
root=$(cd "$(dirname "$0")/../.." && pwd)
. "$root/examples/demo/town.sh"
town_init "$1" 22200

fail() {
	echo "FAILED: $1" >&2
	tail -n "${TOWN_LOG_LINES:-5}" "$TOWN_DIR"/*.log >&2
	exit 1
}

stats() { # stats INDEX
	curl -s "http://127.0.0.1:$(town_port "$1" 4)/fake/stats"
}

stop_under_load() { # stop_under_load INDEX
	town_load 0 /orders --method POST --connections 8 --rate 400 \
		--seconds 5 >"$TOWN_DIR/load" &
	load=$!
	sleep 1
	eval "pid=\$TOWN_NODE_$1"
	kill -TERM "$pid"
	wait "$pid" || fail "node $1 does not end with status 0"
	before=$(stats "$1")
	wait "$load"
	grep -q '"refused":0,"unknown":0,"lost":0' "$TOWN_DIR/load" ||
		fail "the stop of node $1 cut a request: $(cat "$TOWN_DIR/load")"
	grep -q '"ok":0,' "$TOWN_DIR/load" && fail "nothing was served"
	[ "$before" = "$(stats "$1")" ] ||
		fail "endpoint $1 ran a request after its node had stopped"
}

town_node 0 d1 '"registrar": true, "replica": true'
for index in 1 2 3; do
	town_node $index d1
	town_endpoint $index orders --latency-us 2000 --slots 30
done
town_wait "http://127.0.0.1:$(town_port 0 2)/quetzalloft/status" ||
	fail "the node does not start"
cat >"$TOWN_DIR/document.json" <<EOF
{"site": "stop", "attempts": 4,
 "classes": {"order": {"shed_order": 9}},
 "services": {"orders": {}},
 "routes": {
   "place-order": {"service": "orders", "method": "POST", "path": "/orders",
     "class": "order", "idempotent": false, "deadline_ms": 3000},
   "read-order": {"service": "orders", "method": "GET", "path": "/orders",
     "class": "order", "idempotent": true, "deadline_ms": 3000}}}
EOF
town_patch first 0 "$TOWN_DIR/document.json" >/dev/null ||
	fail "the first patch was refused"
town_wait "http://127.0.0.1:$(town_port 0 0)/orders" || fail "no answer"
stop_under_load 1
stop_under_load 2
exit 0
