#!/bin/bash
# Guards against invalid documents that an operator takes for accepted ones: a
# refusal whose text was cut inside a letter, or quoted bytes that are no UTF-8,
# got the status 200. Names of letters of two bytes and of all lengths around
# the places at which texts are cut.
# Usage: refused_document.sh BUILD_FOLDER
set -u
root=$(cd "$(dirname "$0")/../.." && pwd)
. "$root/examples/demo/town.sh"
town_init "$1" 23400
operator=127.0.0.1:$(town_port 0 0)
url=http://$operator/quetzalloft/config

fail() {
	echo "FAILED: $1" >&2
	tail -n "${TOWN_LOG_LINES:-10}" "$TOWN_DIR"/*.log >&2
	exit 1
}

# put BASE: sends the document, again while the answer is 503; prints the status
# and the body of the answer
put() {
	for _ in $(seq 100); do
		answer=$(curl -s -i --max-time 5 -X PUT \
			-H "Base-Version: $1" \
			-H "Content-Type: application/json" \
			--data-binary "@$TOWN_DIR/document.json" "$url")
		[ -z "$answer" ] || echo "$answer" | grep -q "^HTTP/1.1 503 " ||
			break
		sleep 0.1
	done
	echo "$answer"
}

# write_document VERSION ROUTE KIND SERVICE: writes a document with one route
write_document() {
	cat >"$TOWN_DIR/document.json" <<-EOF
	{"version": $1, "resources": [
	 {"resourceType": "routes", "metadata": {"name": "$2"}, "spec":
	  {"host": "a.example", "pathPrefix": "/a/", "kind": "$3",
	   "timeout": "6000ms", "targetLatency": "1500ms", "priority": 1,
	   "attempts": 2, "trafficSplit": [{"service": "$4", "weight": 1}]}},
	 {"resourceType": "services", "metadata": {"name": "stock"}, "spec":
	  {"healthPath": "/health", "maxConnections": 500}},
	 {"resourceType": "limits", "metadata": {}, "spec":
	  {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864,
	   "headerTimeout": "3000ms", "idleTimeout": "15000ms"}}]}
	EOF
}

# expect_refusal BASE WHAT: the answer is 400 and says why
expect_refusal() {
	answer=$(put "$1")
	echo "$answer" | grep -q "^HTTP/1.1 400 " &&
		echo "$answer" | grep -q '^{"error":".*"}' ||
		fail "$2: $answer"
}

start_core() {
	"$TOWN_BUILD/src/node/quetzalloftd" --config "$TOWN_DIR/core.json" \
		>>"$TOWN_DIR/core.log" 2>&1 &
	core=$!
	TOWN_PIDS="$TOWN_PIDS $core"
}

# letters N: prints N letters of two bytes
letters() {
	printf 'õ%.0s' $(seq "$1")
}

mkdir "$TOWN_DIR/data"
cat >"$TOWN_DIR/core.json" <<EOF
{"role": "replica", "cluster": "$TOWN_CLUSTER", "node": "core",
 "failure_domain": "d1", "placement": "d1", "address": "127.0.0.1",
 "control_port": $(town_port 0 3), "bootstrap": true,
 "seeds": ["$operator"],
 "listen": {"operator": "$operator", "metrics": "127.0.0.1:$(town_port 0 1)"},
 "data_folder": "$TOWN_DIR/data", "charts": "$root/charts"}
EOF
start_core
write_document 5 first idempotent stock
put 0 | grep -q '^{"version":5}' || fail "the first document was refused"

for n in 80 90 91 92 100 200; do
	for start in x xx; do
		write_document 7 "$start$(letters "$n")" sometimes stock
		expect_refusal 5 "a kind that isn't known, $start and $n letters"
	done
done
for n in 31 220 230 240 300; do
	for start in x xx; do
		write_document 7 next idempotent "$start$(letters "$n")"
		expect_refusal 5 "an unknown service, $start and $n letters"
	done
done
write_document 7 next idempotent stock
expect_refusal "$(printf '\365')" "a base version that is no UTF-8"
curl -s "$url" | grep -q '"version":5' || fail "another document is in force"

# The refusals are kept for requests that are repeated, also after a restart.
kill -KILL "$core"
wait "$core" 2>/dev/null
sed -i 's/"bootstrap": true/"bootstrap": false/' "$TOWN_DIR/core.json"
start_core
for _ in $(seq 100); do
	curl -s "$url" | grep -q '"version":5' && break
	sleep 0.1
done
curl -s "$url" | grep -q '"version":5' || fail "the document is lost"
kill -TERM "$core"
wait "$core" || fail "the replica does not end with status 0"
exit 0
