#!/bin/bash
# Replaces a replica that was killed and lost its disk: the new replica is added
# and promoted, and completes the quorum after another replica is killed.
# Usage: replicas.sh BUILD_FOLDER
set -u
root=$(cd "$(dirname "$0")/../.." && pwd)
. "$root/examples/demo/town.sh"
town_init "$1" 22800
export QUETZALLOFT_CONFIG=$TOWN_DIR/defaults.json
echo '{"timeout_ms": 20000}' >"$QUETZALLOFT_CONFIG"
export QUETZALLOFT_CLUSTER=$TOWN_CLUSTER

fail() {
	echo "FAILED: $1" >&2
	tail -n "${TOWN_LOG_LINES:-10}" "$TOWN_DIR"/*.log >&2
	exit 1
}

# ask NODES COMMAND...: runs the command with NODES as its servers; NODES is one
# word, such as "0 1".
ask() {
	servers=
	for node in $1; do
		servers="$servers --server $(town_control "$node")"
	done
	shift
	"$TOWN_BUILD/src/cli/quetzalloft" "$@" $servers
}

# start NODE PEERS...: starts a replica that is configured with these peers.
start() {
	list=
	for node in "$@"; do
		list="$list${list:+, }\"$(town_control "$node")\""
	done
	town_node "$1" d1 \
		"\"registrar\": true, \"replica\": true, \"replicas\": [$list]"
}

# identity NODE: prints the identity of the replica.
identity() {
	ask "$1" replicas status --json |
		sed -nE 's/^    "id": "([0-9a-f]+)".*/\1/p'
}

# voters NODES: prints the number of voters, as reported by the replica of NODES
# with the highest commit index.
voters() {
	ask "$1" replicas status | sed -n '/^MEMBER/,$p' | grep -c ' yes$'
}

echo '{"attempts": 13}' >"$TOWN_DIR/patch.json"
start 0 1 2
start 1 0 2
start 2 0 1
ask "0 1 2" config patch --base 0 "$root/examples/kask-pojad.json" \
	>/dev/null 2>&1 || fail "the first patch was refused"
[ "$(voters "0 1 2")" -eq 3 ] || fail "not three voters"
lost=$(identity 2)
[ -n "$lost" ] || fail "replica 2 names no identity"

kill -KILL "$TOWN_NODE_2"
wait "$TOWN_NODE_2" 2>/dev/null
rm -rf "$TOWN_DIR/data2"
ask "0 1 2" replicas status >/dev/null 2>&1
[ $? -eq 5 ] || fail "status does not say that a replica is silent"
ask "0 1" replicas remove "$lost" >/dev/null || fail "remove"
[ "$(voters "0 1")" -eq 2 ] || fail "the lost replica still votes"
start 3 0 1
town_wait "http://127.0.0.1:$(town_port 3 2)/quetzalloft/status" ||
	fail "the successor does not start"
ask "0 1" replicas add "$(town_control 3)" >/dev/null || fail "add"
[ "$(voters "0 1")" -eq 2 ] || fail "the successor votes as a learner"
ask "0 1" replicas promote "$(identity 3)" >/dev/null || fail "promote"
[ "$(voters "0 1")" -eq 3 ] || fail "the successor does not vote"

kill -KILL "$TOWN_NODE_1"
wait "$TOWN_NODE_1" 2>/dev/null
ask "0 3" config patch --base 1 "$TOWN_DIR/patch.json" >/dev/null 2>&1 ||
	fail "no quorum with the successor"
ask "3 0" config get | grep '^version 2' >/dev/null ||
	fail "the patch is lost"
exit 0
