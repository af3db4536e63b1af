#!/bin/bash
# Fetches the timeline of one client request from three real nodes, saves it,
# and shows it as a tree and as a picture.
# Usage: timeline.sh BUILD_FOLDER
set -u
root=$(cd "$(dirname "$0")/../.." && pwd)
. "$root/examples/demo/town.sh"
town_init "$1" 22700
export QUETZALLOFT_CONFIG=$TOWN_DIR/defaults.json
echo '{}' >"$QUETZALLOFT_CONFIG"

fail() {
	echo "FAILED: $1" >&2
	tail -n 5 "$TOWN_DIR"/*.log >&2
	exit 1
}

timeline() {
	"$TOWN_BUILD/src/cli/quetzalloft" timeline --cluster "$TOWN_CLUSTER" \
		--server "$(town_control 0)" --server "$(town_control 1)" \
		--server "$(town_control 2)" "$@" || fail "timeline $*"
}

town_node 0 d1 '"registrar": true, "replica": true'
town_node 1 d1
town_node 2 d1
town_endpoint 1 catalogue --latency-us 100 --call stock:/stock/7
town_endpoint 2 stock --latency-us 100
for node in 0 1 2; do
	town_wait "http://127.0.0.1:$(town_port $node 2)/quetzalloft/status" ||
		fail "node $node does not start"
done
town_patch first 0 "$root/examples/kask-pojad.json" >/dev/null ||
	fail "the first patch was refused"
town_wait "http://127.0.0.1:$(town_port 0 0)/parts/7" || fail "no answer"
# By now every node has the endpoints that it calls, so that this request needs
# no retry.
town_wait "http://127.0.0.1:$(town_port 0 0)/parts/8" || fail "no answer"

timeline --json --save "$TOWN_DIR/saved" >"$TOWN_DIR/live"
cmp -s "$TOWN_DIR/live" "$TOWN_DIR/saved" || fail "saved is not what was shown"
# The last client request whose outcome is "answered".
request=$(sed -nE '/"event":"request_done"/{
	/"outcome":"answered"/s/.*"request":"([0-9a-f]+)".*/\1/p
}' "$TOWN_DIR/live" | tail -n 1)
[ -n "$request" ] || fail "no request is done"
timeline --request "$request" >"$TOWN_DIR/tree"
# Keeps the indentation, the node and the event of each line of the tree.
sed -E 's/\+[0-9]+ ms  //; s/attempt [0-9a-f]{16}/attempt/; s/endpoint=.*//
	s/ +$//' "$TOWN_DIR/tree" | tail -n +2 >"$TOWN_DIR/found"
cat >"$TOWN_DIR/expected" <<-TREE
  node0  request_received
  attempt service=catalogue
    node0  attempt_sent
    node1  gate_admitted
    attempt service=stock
      node1  attempt_sent
      node2  gate_admitted
      node2  gate_done answered
      node1  attempt_answered answered
    node1  gate_done answered
    node0  attempt_answered answered
  node0  request_done answered
TREE
diff "$TOWN_DIR/expected" "$TOWN_DIR/found" >&2 || fail "not the tree"
"$TOWN_BUILD/src/cli/quetzalloft" timeline --from "$TOWN_DIR/saved" \
	--request "$request" --svg "$TOWN_DIR/picture.svg" |
	diff - "$TOWN_DIR/tree" >&2 || fail "another tree from the saved events"
[ "$(grep -c '<circle' "$TOWN_DIR/picture.svg")" -eq 10 ] ||
	fail "not every event is in the picture"
timeline --service stock --json >"$TOWN_DIR/stock"
grep -q '"service":"catalogue"' "$TOWN_DIR/stock" &&
	fail "the filter lets other services through"
grep -q '"service":"stock"' "$TOWN_DIR/stock" ||
	fail "the filter keeps the service back"
timeline --version 1 >"$TOWN_DIR/version"
[ "$(grep -c config_in_force "$TOWN_DIR/version")" -eq 3 ] ||
	fail "the version is not in force on three nodes"
exit 0
