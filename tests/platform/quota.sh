#!/bin/bash
# A team with a quota sends to a node, which asks the leader for tokens: within
# the quota it goes on to the services, over it it gets 429, and while the
# leader is paused 503. Checks states, not latencies.
# Usage: quota.sh BUILD_FOLDER
set -u
root=$(cd "$(dirname "$0")/../.." && pwd)
. "$root/examples/demo/town.sh"
town_init "$1" 23000

fail() {
	echo "FAILED: $1" >&2
	tail -n "${TOWN_LOG_LINES:-10}" "$TOWN_DIR"/*.log >&2
	exit 1
}

host=127.0.0.2

port() { # port INDEX: prints a port of the node
	town_port 1 "$1"
}

start_node() {
	cat >"$TOWN_DIR/first.json" <<-EOF
	{"role": "node", "cluster": "$TOWN_CLUSTER", "node": "first",
	 "failure_domain": "d1", "placement": "d1", "address": "$host",
	 "control_port": $(town_port 0 3), "seeds": ["$(town_control 0)"],
	 "registrars": ["$(town_control 0)"],
	 "listen": {"client": "$host:$(port 0)",
	   "gate": "$host:$(port 1)", "ready": "$host:$(port 2)",
	   "announce": "$host:$(port 5)", "metrics": "$host:$(port 6)"},
	 "endpoint": {"address": "$host:$(port 4)", "service": "orders"},
	 "charts": "$root/charts"}
	EOF
	"$TOWN_BUILD/src/node/quetzalloftd" --config "$TOWN_DIR/first.json" \
		>>"$TOWN_DIR/first.log" 2>&1 &
	first=$!
	TOWN_PIDS="$TOWN_PIDS $!"
}

# send: sends a request of the team; prints its answer
send() {
	curl -s -i -H "Api-Key: key-1" "http://$host:$(port 0)/orders/1"
}

# expect REASON WHAT: sends requests until one ends for the reason
expect() {
	for _ in $(seq 100); do
		send | grep -q "$1" && return
		sleep 0.2
	done
	fail "$2"
}

town_node 0 d1 '"registrar": true, "replica": true'
town_wait "http://127.0.0.1:$(town_port 0 2)/quetzalloft/status" ||
	fail "the replica does not start"
# No endpoint serves, so a request with a token ends for that reason.
cat >"$TOWN_DIR/document.json" <<-EOF
{"site": "quota", "attempts": 4, "classes": {"low": {"shed_order": 1}},
 "services": {"orders": {}},
 "routes": {"get": {"path": "/orders/", "service": "orders", "class": "low",
   "idempotent": true, "deadline_ms": 8000}},
 "teams": {"red": {"keys": ["key-1"], "rate_per_s": 0.5, "burst": 1}}}
EOF
town_patch first 0 "$TOWN_DIR/document.json" >/dev/null ||
	fail "the first patch was refused"
start_node
expect "no-endpoint" "no request got a token"
expect "429" "no request was refused for the quota"
send | grep -qi "^Retry-After" || fail "a refusal without a time"
expect "no-endpoint" "no request got a token of the next ones"

# explain STATUS TEXT KEY [OPTIONS...]: asks the node where a request would go
explain() {
	status=$1
	text=$2
	key=$3
	shift 3
	QUETZALLOFT_KEY=$key "$TOWN_BUILD/src/cli/quetzalloft" explain \
		--server "$host:$(town_port 0 3)" --cluster "$TOWN_CLUSTER" \
		"$@" >"$TOWN_DIR/out" 2>&1
	found=$?
	[ "$found" -eq "$status" ] && grep -q "$text" "$TOWN_DIR/out" &&
		! grep -q "key-1" "$TOWN_DIR/out" ||
		fail "explain $*: $found, $(cat "$TOWN_DIR/out")"
}

explain 0 "team       red" key-1 /orders/1
explain 0 '"rate_per_s": 0.5' key-1 --json /orders/1
explain 0 "not asked for a call" "" --call /orders/1
explain 65 "unknown_key" key-2 /orders/1
explain 65 "missing_key" "" /orders/1
explain 65 "not_found" key-1 /elsewhere
explain 64 "must start" key-1 orders
grep -q "key-1" "$TOWN_DIR"/*.log && fail "a key is in the log"
kill -STOP "$TOWN_NODE_0"
expect "quota-unknown" "a request was not refused without the leader"
kill -CONT "$TOWN_NODE_0"
expect "no-endpoint" "no request got a token from the leader that is back"
curl -s "http://$host:$(port 6)/metrics" |
	grep -q "^quetzalloft_quota_refused_total [1-9]" ||
	fail "the refusals are not counted"
kill -TERM "$first"
wait "$first" || fail "the node does not end with status 0"
exit 0
