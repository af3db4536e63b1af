#!/bin/bash
# A document has more services than a node follows in advance: the node finds the
# endpoint of the service that a request leads to. Checks answers, not latencies.
# Usage: many_services.sh BUILD_FOLDER
set -u
root=$(cd "$(dirname "$0")/../.." && pwd)
. "$root/examples/demo/town.sh"
town_init "$1" 23300

fail() {
	echo "FAILED: $1" >&2
	tail -n "${TOWN_LOG_LINES:-10}" "$TOWN_DIR"/*.log >&2
	exit 1
}

# Address of the node beside the endpoint. Its control port is that of the
# registrar, as in a fleet, where all nodes use the same one.
host=127.0.0.2

port() { # port INDEX: prints a port of the node beside the endpoint
	town_port 1 "$1"
}

# start_node: starts the node beside the endpoint, and waits until it listens
start_node() {
	cat >"$TOWN_DIR/beside.json" <<-EOF
	{"role": "node", "cluster": "$TOWN_CLUSTER", "node": "beside",
	 "failure_domain": "d1", "placement": "d1", "address": "$host",
	 "control_port": $(town_port 0 3), "seeds": ["$(town_control 0)"],
	 "registrars": ["$(town_control 0)"],
	 "listen": {"client": "$host:$(port 0)",
	   "gate": "$host:$(port 1)", "ready": "$host:$(port 2)",
	   "announce": "$host:$(port 5)", "metrics": "$host:$(port 6)"},
	 "endpoint": {"address": "$host:$(port 4)", "service": "orders"},
	 "charts": "$root/charts"}
	EOF
	"$TOWN_BUILD/src/node/quetzalloftd" --config "$TOWN_DIR/beside.json" \
		>>"$TOWN_DIR/beside.log" 2>&1 &
	beside=$!
	TOWN_PIDS="$TOWN_PIDS $!"
}

# announce METHOD ID [SEQUENCE STATE BORN]: prints the status of the answer; is
# repeated until there is one
announce() {
	body=
	[ "$1" = PUT ] && body="{\"service\": \"orders\", \"zone\": \"d1\",
		\"address\": \"$host:$(port 4)\", \"version\": \"1\",
		\"slots\": 4, \"state\": \"$4\", \"sequence\": $3, \"born\": $5}"
	for _ in $(seq 100); do
		status=$(curl -s -o /dev/null -w '%{http_code}' -X "$1" \
			${body:+-d "$body"} \
			"http://$host:$(port 5)/quetzalloft/instances/$2")
		[ "$status" = 000 ] || [ "$status" = 503 ] || break
		sleep 0.1
	done
	echo "$status"
}

# ask: prints the answer of the node to a request of the route
ask() {
	curl -s -i "http://$host:$(port 0)/orders/7"
}

town_node 0 d1 '"registrar": true, "replica": true'
town_wait "http://127.0.0.1:$(town_port 0 2)/quetzalloft/status" ||
	fail "the registrar does not start"
services='"orders": {}'
for i in $(seq 70); do
	services="$services, \"s$i\": {}"
done
echo '{"site": "many", "attempts": 4, "classes": {"c": {"shed_order": 1}},
 "services": {'"$services"'}, "routes": {"r": {"path": "/orders",
 "service": "orders", "class": "c", "idempotent": true,
 "deadline_ms": 1000}}}' >"$TOWN_DIR/document.json"
town_patch first 0 "$TOWN_DIR/document.json" >/dev/null ||
	fail "the first patch was refused"
start_node
[ "$(announce PUT i-1 1 ready 1000)" = 200 ] || fail "no report"

# Nothing listens at the address of the endpoint, so the request that reaches it
# fails in another way than one for which no endpoint is known.
found=
for _ in $(seq 100); do
	answer=$(ask)
	case $answer in
	*"Quetzalloft-Reason: connect-failed"*) found=1 && break ;;
	esac
	sleep 0.1
done
[ -n "$found" ] || fail "the endpoint of the service is not found: $answer"
kill -TERM "$beside"
wait "$beside" || fail "the node does not end with status 0"
exit 0
