#!/bin/bash
# Orders with an Idempotency-Key run at most once. Covers a repeated order, the
# same key with another body, one killed keeper, and no majority of keepers.
# Keepers abstain for a minute after their start, so the test takes longer than
# a minute.
# Usage: keyed_path.sh BUILD_FOLDER
set -u
root=$(cd "$(dirname "$0")/../.." && pwd)
. "$root/examples/demo/town.sh"
town_init "$1" 22100

fail() {
	echo "FAILED: $1" >&2
	tail -n "${TOWN_LOG_LINES:-5}" "$TOWN_DIR"/*.log >&2
	exit 1
}

# order NODE KEY BODY [CURL_OPTIONS...]
order() {
	node=$1
	key=$2
	body=$3
	shift 3
	curl -s -i -X POST -H "Idempotency-Key: $key" -d "$body" "$@" \
		"http://127.0.0.1:$(town_port "$node" 0)/orders"
}

runs() {
	curl -s "http://127.0.0.1:$(town_port 0 4)/fake/stats"
}

town_node 0 d0 '"registrar": true, "replica": true'
town_node 1 d0
town_node 2 d0
town_endpoint 0 orders --latency-us 1000
town_wait "http://127.0.0.1:$(town_port 0 2)/quetzalloft/status" ||
	fail "the node does not start"
cat >"$TOWN_DIR/document.json" <<EOF
{"site": "keyed", "attempts": 4,
 "classes": {"order": {"shed_order": 9}},
 "services": {"orders": {}},
 "routes": {"place-order": {"service": "orders", "method": "POST",
   "path": "/orders", "class": "order", "idempotent": false,
   "deadline_ms": 3000}},
 "keepers": {"retention_ms": 60000,
   "members": {
     "k0": {"address": "127.0.0.1:$(town_port 0 3)", "failure_domain": "d0"},
     "k1": {"address": "127.0.0.1:$(town_port 1 3)", "failure_domain": "d1"},
     "k2": {"address": "127.0.0.1:$(town_port 2 3)", "failure_domain": "d2"}},
   "slots": [["k0", "k1", "k2"]]}}
EOF
town_patch first 0 "$TOWN_DIR/document.json" >/dev/null ||
	fail "the first patch was refused"

tries=0
until order 1 first coins | grep -q "200 OK"; do
	tries=$((tries + 1))
	[ "$tries" -lt 110 ] || fail "keepers do not vote"
	sleep 1
done
order 2 first coins | grep -qi "^Idempotency-Replayed: true" ||
	fail "a repeat does not get the stored answer"
order 2 first clips | grep -q "422" ||
	fail "the same key with another body is no error"
runs | grep -q '"runs":1,' || fail "not one run: $(runs)"

kill -KILL "$TOWN_NODE_2"
order 1 second coins | grep -q "200 OK" ||
	fail "one lost keeper stops orders"
kill -KILL "$TOWN_NODE_1"
answer=$(order 0 third coins)
echo "$answer" | grep -qi "^Quetzalloft-Outcome: refused" ||
	fail "without a majority a copy is not refused: $answer"
echo "$answer" | grep -q '"reason":"no-quorum"' ||
	fail "without a majority the reason is another: $answer"
runs | grep -q '"runs":2,.*"duplicates":0' || fail "wrong runs: $(runs)"
exit 0
