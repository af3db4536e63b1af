#!/bin/bash
# Invalid input from clients, endpoints and other senders: each gets a response
# with the matching error or reason, and the node keeps serving.
# Usage: bad_input.sh BUILD_FOLDER
set -u
root=$(cd "$(dirname "$0")/../.." && pwd)
. "$root/examples/demo/town.sh"
town_init "$1" 22300

fail() {
	echo "FAILED: $1" >&2
	tail -n "${TOWN_LOG_LINES:-5}" "$TOWN_DIR"/*.log >&2
	exit 1
}

# expect DESCRIPTION TEXT CURL_OPTIONS...: checks that the response has the text
expect() {
	description=$1
	text=$2
	shift 2
	answer=$(curl -s -i --max-time 10 "$@")
	echo "$answer" | grep -q -- "$text" ||
		fail "$description: no \"$text\" in: $answer"
}

town_node 0 d1 '"registrar": true, "replica": true'
town_endpoint 0 manuals --latency-us 100
client=http://127.0.0.1:$(town_port 0 0)
gate=http://127.0.0.1:$(town_port 0 1)
local=http://127.0.0.1:$(town_port 0 2)
town_wait "$local/quetzalloft/status" || fail "the node does not start"
cat >"$TOWN_DIR/document.json" <<EOF
{"site": "bad", "attempts": 4,
 "classes": {"manual": {"shed_order": 2}},
 "services": {"manuals": {"body_limit_bytes": 1000}},
 "routes": {
   "fetch": {"service": "manuals", "method": "GET", "path": "/manuals",
     "class": "manual", "idempotent": true, "deadline_ms": 3000},
   "store": {"service": "manuals", "method": "PUT", "path": "/manuals",
     "class": "manual", "idempotent": true, "deadline_ms": 3000}}}
EOF
town_patch first 0 "$TOWN_DIR/document.json" >/dev/null ||
	fail "the first patch was refused"
town_wait "$client/manuals/1" || fail "no answer"
head -c 1001 /dev/zero >"$TOWN_DIR/large"
head -c 1000 /dev/zero >"$TOWN_DIR/limit"

for value in -1 1e9 99999999999999999999999 5,5 x; do
	expect "timeout $value" '"reason":"bad-request"' \
		-H "Quetzalloft-Timeout-Ms: $value" "$client/manuals/1"
done
expect "a repeated header" '"reason":"bad-request"' -H "Idempotency-Key: a" \
	-H "Idempotency-Key: b" "$client/manuals/1"
expect "no metadata at a gate" '"outcome":"not-run","reason":"bad-request"' \
	"$gate/manuals/1"
expect "an unknown attempt" '"reason":"cancelled"' \
	-H "Quetzalloft-Attempt-Id: 0123456789abcdef-0123456789abcdef" \
	-H "Quetzalloft-Service: manuals" "$local/manuals/1"
expect "a body over the limit" '"reason":"too-large"' \
	-X PUT --data-binary "@$TOWN_DIR/large" "$client/manuals/1"
expect "a body at the limit" " 200 " \
	-X PUT --data-binary "@$TOWN_DIR/limit" "$client/manuals/1"
expect "an announcement that is no JSON" '"error":"invalid"' \
	-X PUT -d '{' "$local/quetzalloft/endpoint"
expect "an announcement with an unknown key" '"error":"unknown_key"' \
	-X PUT -d '{"service":"x","port":1,"slots":1,"connections":1,"a":1}' \
	"$local/quetzalloft/endpoint"
expect "a slow writer" " 200 " --limit-rate 500 \
	-X PUT --data-binary "@$TOWN_DIR/limit" "$client/manuals/1"

# Bytes that are neither HTTP nor RPC: all listeners keep serving.
for port in 0 1 2 3; do
	head -c 4096 /dev/urandom \
		>"/dev/tcp/127.0.0.1/$(town_port 0 $port)" 2>/dev/null
	printf '\200\377\377\377' \
		>"/dev/tcp/127.0.0.1/$(town_port 0 $port)" 2>/dev/null
done
expect "a request after noise" "manuals GET /manuals/2" "$client/manuals/2"
printf '{"attempts": 5}' >"$TOWN_DIR/patch.json"
town_patch second 1 "$TOWN_DIR/patch.json" >/dev/null ||
	fail "the control port does not go on after noise"
curl -s "$local/quetzalloft/metrics" |
	grep -q '^quetzalloft_bad_metadata_total [1-9]' ||
	fail "bad metadata is not counted"
kill -TERM "$TOWN_NODE_0"
wait "$TOWN_NODE_0" || fail "the node does not end with status 0"
exit 0
