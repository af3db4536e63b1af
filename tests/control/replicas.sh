#!/bin/bash
# Three replicas as processes accept patches, also after the leader was killed.
# After a restart of all, they have the same version.
# Usage: replicas.sh BUILD_FOLDER
set -u
root=$(cd "$(dirname "$0")/../.." && pwd)
. "$root/examples/demo/town.sh"
town_init "$1" 25100
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

# ask SERVERS... -- COMMAND...: runs a command with the addresses of some servers.
ask() {
	servers=
	while [ "$1" != -- ]; do
		servers="$servers --server $(control "$1")"
		shift
	done
	shift
	"$cli" "$@" $servers --cluster "$TOWN_CLUSTER"
}

# patch ID BASE SERVERS...: submits patch ID based on version BASE.
patch() {
	id=$1
	base=$2
	shift 2
	ask "$@" -- config patch --id "$id" --base "$base" --timeout-ms 20000 \
		"$TOWN_DIR/$id.json" >/dev/null
}

# version SERVER: prints the version of a replica, which need not be current.
version() {
	ask "$1" -- config get --local --json |
		sed -n 's/.*"version": *\([0-9]*\).*/\1/p'
}

# await_version N: waits until all replicas have version N.
await_version() {
	for node in 0 1 2; do
		tries=0
		until [ "$(version "$node")" = "$1" ]; do
			tries=$((tries + 1))
			[ "$tries" -lt 100 ] ||
				fail "node $node has version $(version "$node"), not $1"
			sleep 0.1
		done
	done
}

# leader: prints the running node whose last logged role is leader.
leader() {
	for node in 0 1 2; do
		kill -0 "$(eval echo "\$TOWN_NODE_$node")" 2>/dev/null || continue
		grep 'event=replica_role' "$TOWN_DIR/node$node.log" | tail -n 1 |
			grep -q 'role=leader' && echo "$node" && return
	done
}

cp "$root/examples/kask-pojad.json" "$TOWN_DIR/p1.json"
for id in p2 p3 p4 p5; do
	echo "{\"attempts\": 1${id#p}}" >"$TOWN_DIR/$id.json"
done

for node in 0 1 2; do
	start "$node"
done
patch p1 0 0 1 2 || fail "the first patch was refused"
patch p2 1 2 1 0 || fail "the second patch was refused"
patch p2 1 1 0 2 || fail "a resent patch got another answer"
patch p3 1 0 1 2 && fail "a patch against an old version was accepted"
ask 0 1 2 -- config get --json >/dev/null || fail "no current document"
await_version 2

lost=$(leader)
[ -n "$lost" ] || fail "no leader"
eval "kill -KILL \$TOWN_NODE_$lost"
rest=$(for node in 0 1 2; do [ "$node" = "$lost" ] || echo "$node"; done)
patch p4 2 $rest || fail "the patch after the leader was killed was refused"
start "$lost"
patch p1 0 "$lost" $rest || fail "a resent patch got another answer"
await_version 3

for node in 0 1 2; do
	eval "kill -KILL \$TOWN_NODE_$node"
done
wait 2>/dev/null
for node in 0 1 2; do
	start "$node"
done
await_version 3
patch p5 3 0 1 2 || fail "the patch after the restart was refused"
patch p4 2 2 0 1 || fail "a resent patch got another answer"
await_version 4

# One of three replicas is no quorum: no patch is accepted, and no read is
# confirmed as current.
eval "kill -KILL \$TOWN_NODE_1 \$TOWN_NODE_2"
cp "$TOWN_DIR/p5.json" "$TOWN_DIR/p6.json"
ask 0 -- config patch --id p6 --base 4 --timeout-ms 4000 \
	"$TOWN_DIR/p6.json" >/dev/null 2>&1 &&
	fail "a patch was accepted without a quorum"
ask 0 -- config get --timeout-ms 1000 >/dev/null 2>&1 &&
	fail "a replica without a quorum answered as current"
[ "$(version 0)" = 4 ] || fail "the version fell"
exit 0
