#!/bin/bash
# Guards against a process that is blocked on a disk, outlives its grace time
# and has to be killed. Checks the exit status and the log; the time limit is
# the timeout of the test.
# Usage: stop_hung.sh BUILD_FOLDER
set -u
root=$(cd "$(dirname "$0")/../.." && pwd)
. "$root/examples/demo/town.sh"
town_init "$1" 22400

fail() {
	echo "FAILED: $1" >&2
	tail -n "${TOWN_LOG_LINES:-5}" "$TOWN_DIR"/*.log >&2
	exit 1
}

# A FIFO without a writer: opening the snapshot for reading blocks forever.
mkdir -p "$TOWN_DIR/data0"
mkfifo "$TOWN_DIR/data0/snapshot"
town_node 0 d1 '"registrar": true, "replica": true, "grace_ms": 1000'
until grep -q "event=signals_taken" "$TOWN_DIR/node0.log"; do
	kill -0 "$TOWN_NODE_0" || fail "the node does not start"
	sleep 0.1
done
kill -TERM "$TOWN_NODE_0"
wait "$TOWN_NODE_0"
[ $? = 75 ] || fail "the end is not told as one that was forced"
grep -q "event=stop_overdue grace_ms=1000" "$TOWN_DIR/node0.log" ||
	fail "no word of what was overdue"
exit 0
