#!/bin/bash
# Runs the commands against real nodes; checks exit statuses and output texts.
# Usage: commands.sh BUILD_FOLDER
set -u
root=$(cd "$(dirname "$0")/../.." && pwd)
. "$root/examples/demo/town.sh"
town_init "$1" 22500
export QUETZALLOFT_CLUSTER=$TOWN_CLUSTER
QUETZALLOFT_SERVERS=127.0.0.1:$(town_port 0 3)
export QUETZALLOFT_SERVERS
export QUETZALLOFT_CONFIG=/dev/null

fail() {
	echo "FAILED: $1" >&2
	tail -n 5 "$TOWN_DIR"/*.log "$TOWN_DIR/out" "$TOWN_DIR/err" >&2
	exit 1
}

# expect STATUS TEXT COMMAND...: fails unless the command exits with STATUS and
# prints TEXT to standard output or standard error.
expect() {
	status=$1
	text=$2
	shift 2
	"$TOWN_BUILD/src/cli/quetzalloft" "$@" \
		>"$TOWN_DIR/out" 2>"$TOWN_DIR/err"
	found=$?
	[ "$found" -eq "$status" ] || fail "$*: status $found, not $status"
	cat "$TOWN_DIR/out" "$TOWN_DIR/err" | grep -q -- "$text" ||
		fail "$*: no \"$text\""
}

echo '{}' >"$TOWN_DIR/defaults.json"
export QUETZALLOFT_CONFIG=$TOWN_DIR/defaults.json
town_node 0 d1 '"registrar": true, "replica": true'
town_node 1 d1
for node in 0 1; do
	town_wait "http://127.0.0.1:$(town_port $node 2)/quetzalloft/status" ||
		fail "node $node does not start"
done
site=$root/examples/kask-pojad.json
other=127.0.0.1:$(town_port 1 3)
nobody=127.0.0.1:$(town_port 2 3)

expect 0 "^version 0" config get
expect 0 "accepted as version 1" config patch --id one --base 0 "$site"
expect 0 "accepted as version 1" config patch --id one --base 0 "$site"
printf '{"attempts": 15}' >"$TOWN_DIR/patch.json"
expect 4 "stale" config patch --base 0 "$TOWN_DIR/patch.json"
expect 3 "conflict" config patch --id one --base 1 "$TOWN_DIR/patch.json"
expect 0 "accepted as version 2" \
	config patch --base 1 "$TOWN_DIR/patch.json" --server "$nobody" \
	--server "$QUETZALLOFT_SERVERS"
printf '{"attempts": -1}' >"$TOWN_DIR/patch.json"
expect 65 "attempts" config patch --base 2 "$TOWN_DIR/patch.json"
expect 0 '"attempts": 15' config get --json
expect 3 "denied" config get --cluster another
expect 75 "Connection refused" config get --server "$nobody"
expect 0 "node1" status --server "$QUETZALLOFT_SERVERS" --server "$other"
expect 5 "$nobody" status --server "$nobody" --server "$other"
expect 0 "client_requests" metrics
expect 0 '"p99_us"' metrics --json
# until_prints TEXT COMMAND...: repeats the command until it prints TEXT; fails
# after 10 seconds.
until_prints() {
	text=$1
	shift
	tries=0
	until "$TOWN_BUILD/src/cli/quetzalloft" "$@" 2>/dev/null |
		grep -q -- "$text"; do
		tries=$((tries + 1))
		[ "$tries" -lt 100 ] || fail "$*: no \"$text\" after 10 s"
		sleep 0.1
	done
}

until_prints "node1" members
until_prints "nodes known: 2; nodes behind: 0" config status
expect 0 "node0" members
expect 0 '"failure_domain": "d1"' members --json
expect 5 "$nobody" members --server "$QUETZALLOFT_SERVERS" --server "$nobody"
expect 0 "nodes behind: 0" config status
expect 64 "exactly one" explain --server "$nobody" --server "$other" /x
expect 65 "no call path" explain --server "$other" /x
expect 75 "Connection refused" explain --server "$nobody" /x
expect 64 "exactly one" drain --server "$nobody" --server "$other"
expect 0 "has stopped" drain --server "$other"
wait "$TOWN_NODE_1" || fail "the drained node did not exit with status 0"
exit 0
