#!/bin/bash
# A replica loses its disk and returns as a learner with a new identity. The old
# identity is removed and the learner is promoted. Right after that a second
# replica fails. No accepted patch may be lost.
# Usage: replace_replica.sh BUILD_FOLDER
set -u
root=$(cd "$(dirname "$0")/../.." && pwd)
. "$root/examples/demo/town.sh"
town_init "$1" 25600
cli=$TOWN_BUILD/src/cli/quetzalloft

fail() {
	echo "FAILED: $1" >&2
	tail -n "${TOWN_LOG_LINES:-20}" "$TOWN_DIR"/*.log >&2
	exit 1
}

control() {
	echo "127.0.0.1:$(town_port "$1" 3)"
}

replicas="\"replicas\": [\"$(control 0)\", \"$(control 1)\", \"$(control 2)\"]"
start() {
	town_node "$1" d1 "\"registrar\": true, \"replica\": true, $replicas"
}

lose() {
	eval "kill -KILL \$TOWN_NODE_$1"
	eval "wait \$TOWN_NODE_$1" 2>/dev/null
}

ask() {
	"$cli" "$@" --server "$(control 0)" --server "$(control 1)" \
		--server "$(control 2)" --cluster "$TOWN_CLUSTER" \
		--timeout-ms 20000
}

# patch NUMBER: submits a patch that results in version NUMBER.
patch() {
	echo "{\"attempts\": 1$1}" >"$TOWN_DIR/p$1.json"
	[ "$1" -gt 1 ] || cp "$root/examples/kask-pojad.json" "$TOWN_DIR/p1.json"
	ask config patch --id "p$1" --base $(($1 - 1)) "$TOWN_DIR/p$1.json" \
		>/dev/null || fail "patch $1 was not accepted"
}

# identity NODE: prints the identity that the replica logged at its last start.
identity() {
	grep 'event=replica_loaded' "$TOWN_DIR/node$1.log" | tail -n 1 |
		sed 's/.*event=replica_loaded id=\([0-9a-f]*\).*/\1/'
}

version() {
	"$cli" config get --local --json --server "$(control "$1")" \
		--cluster "$TOWN_CLUSTER" |
		sed -n 's/.*"version": *\([0-9]*\).*/\1/p'
}

for node in 0 1 2; do
	start "$node"
done
patch 1
patch 2
old=$(identity 0)

# The first replica of the list returns as a learner, too, instead of
# bootstrapping a second cluster.
lose 0
rm -rf "$TOWN_DIR/data0"
start 0
patch 3
new=$(identity 0)
[ "$new" != "$old" ] || fail "an emptied disk has its old identity"
grep -q 'event=cluster_started' "$TOWN_DIR/node0.log" &&
	[ "$(grep -c 'event=cluster_started' "$TOWN_DIR/node0.log")" -gt 1 ] &&
	fail "an emptied disk started a second cluster"
ask replicas remove "$old" >/dev/null || fail "the lost replica was not removed"
ask replicas add "$(control 0)" >/dev/null || fail "the learner was not added"
ask replicas promote "$new" >/dev/null || fail "the learner was not promoted"
patch 4

# Another replica fails right after the replacement; two of three suffice.
lose 1
rm -rf "$TOWN_DIR/data1"
patch 5
[ "$(version 0)" = 5 ] || [ "$(version 2)" = 5 ] || fail "version 5 is lost"
lose 0
lose 2
start 0
start 2
patch 6
ask config get --json >"$TOWN_DIR/now.json" || fail "nothing is current"
grep -q '"attempts": 16' "$TOWN_DIR/now.json" || fail "the last patch is lost"
exit 0
