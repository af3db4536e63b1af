#!/bin/bash
# A request is forwarded through two nodes and its response arrives complete.
# Checks responses, not latencies.
# Usage: whole_path.sh BUILD_FOLDER
set -u
root=$(cd "$(dirname "$0")/../.." && pwd)
. "$root/examples/demo/town.sh"
town_init "$1" 22000

fail() {
	echo "FAILED: $1" >&2
	tail -n "${TOWN_LOG_LINES:-5}" "$TOWN_DIR"/*.log >&2
	exit 1
}

town_node 0 d1 '"registrar": true, "replica": true'
town_node 1 d1
town_endpoint 0 catalogue --latency-us 100 --call stock:/stock/7
town_endpoint 1 stock --latency-us 100
town_wait "http://127.0.0.1:$(town_port 0 2)/quetzalloft/status" ||
	fail "the node does not start"
town_patch first 0 "$root/examples/kask-pojad.json" >/dev/null ||
	fail "the first patch was refused"
town_wait "http://127.0.0.1:$(town_port 1 0)/parts/7" ||
	fail "no whole answer"
answer=$(curl -s -i "http://127.0.0.1:$(town_port 1 0)/parts/8?x=1")
echo "$answer" | grep -q "catalogue GET /parts/8?x=1" ||
	fail "not the answer to this request: $answer"
echo "$answer" | grep -qi "^Quetzalloft-Outcome: answered" ||
	fail "no outcome: $answer"
curl -s "http://127.0.0.1:$(town_port 1 0)/nowhere" |
	grep -q '"outcome":"not-run","reason":"no-route"' ||
	fail "a request without route is not told not-run"
kill -TERM "$TOWN_NODE_1"
wait "$TOWN_NODE_1" || fail "SIGTERM does not end a node with status 0"
exit 0
