#!/bin/bash
# Guards against replicas that end, and changes that are refused or stay
# unanswered, when the disks of the replicas are full one after the other.
# A limit of the size of files stands for the full disk.
# Usage: full_disks.sh BUILD_FOLDER
set -u
root=$(cd "$(dirname "$0")/../.." && pwd)
. "$root/examples/demo/town.sh"
town_init "$1" 25500
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

# ask COMMAND...: runs a command with the addresses of all replicas.
ask() {
	"$cli" "$@" --server "$(control 0)" --server "$(control 1)" \
		--server "$(control 2)" --cluster "$TOWN_CLUSTER"
}

# patch VERSION: submits the patch that results in a version.
patch() {
	echo "{\"attempts\": $((10 + $1))}" >"$TOWN_DIR/p$1.json"
	[ "$1" -gt 1 ] ||
		cp "$root/examples/kask-pojad.json" "$TOWN_DIR/p1.json"
	ask config patch --id "p$1" --base "$(($1 - 1))" --timeout-ms 20000 \
		"$TOWN_DIR/p$1.json" >/dev/null ||
		fail "patch $1 was refused"
}

# await_version N: waits until all replicas have version N.
await_version() {
	for node in 0 1 2; do
		tries=0
		until "$cli" config get --local --json --server "$(control "$node")" \
			--cluster "$TOWN_CLUSTER" |
			grep -q "\"version\": *$1\b"; do
			tries=$((tries + 1))
			[ "$tries" -lt 100 ] || fail "replica $node lacks version $1"
			sleep 0.1
		done
	done
}

# limit NODE BYTES: lets writes of a replica fail beyond a size of the file.
limit() {
	prlimit --pid "$(eval echo "\$TOWN_NODE_$1")" --fsize="$2:unlimited" ||
		fail "replica $1 has ended"
}

for node in 0 1 2; do
	start "$node"
done
version=1
patch 1
await_version 1

for node in 0 1 2 0 1 2; do
	limit "$node" 1
	for _ in 1 2 3; do
		version=$((version + 1))
		patch "$version"
	done
	limit "$node" unlimited
	await_version "$version"
done

# A replica starts while its disk is full. The thread sanitizer maps a temporary
# file before main(), which the limit would break; without the folder it does not.
kill -KILL "$TOWN_NODE_1"
wait "$TOWN_NODE_1" 2>/dev/null
ulimit -S -f 0
TMPDIR=/nonexistent "$TOWN_BUILD/src/node/quetzalloftd" \
	--config "$TOWN_DIR/node1.json" 2>/dev/null &
TOWN_NODE_1=$!
TOWN_PIDS="$TOWN_PIDS $!"
ulimit -S -f unlimited
version=$((version + 1))
patch "$version"
limit 1 unlimited
await_version "$version"

kill -KILL "$TOWN_NODE_0" "$TOWN_NODE_1" "$TOWN_NODE_2"
wait 2>/dev/null
for node in 0 1 2; do
	start "$node"
done
await_version "$version"
exit 0
