#!/bin/bash
# Shows the main job on loopback: calls through the nodes, an overload, patches
# accepted and refused, a node stopped gracefully and one killed.
# Usage: run.sh BUILD_FOLDER
set -u
here=$(cd "$(dirname "$0")" && pwd)
. "$here/town.sh"
town_init "${1:-build}" 21000
failures=0

check() { # check DESCRIPTION COMMAND...
	description=$1
	shift
	if "$@"; then
		echo "  ok      $description"
	else
		echo "  BROKEN  $description"
		failures=$((failures + 1))
	fi
}

echo "starting four nodes and their endpoints"
town_node 0 ee-north-1 '"registrar": true, "replica": true'
town_node 1 ee-north-1
town_node 2 ee-north-2
town_node 3 ee-north-2
town_endpoint 0 orders --slots 30 --latency-us 2000 \
	--call stock:/stock/7 --call catalogue:/parts/7
town_endpoint 1 catalogue --slots 35 --latency-us 1000 --call stock:/stock/7
town_endpoint 2 stock --slots 15 --latency-us 2000
town_endpoint 3 stock --slots 15 --latency-us 2000
town_wait "http://127.0.0.1:$(town_port 0 2)/quetzalloft/status"

echo "configuration"
check "the first patch is accepted" \
	town_patch first 0 "$here/../kask-pojad.json"
printf '{"attempts": 14}' >"$TOWN_DIR/patch.json"
town_patch late 0 "$TOWN_DIR/patch.json" 2>"$TOWN_DIR/stale"
check "a patch against an old version is refused" [ $? -eq 4 ]
check "a resent patch gets its first answer" \
	town_patch first 0 "$here/../kask-pojad.json"
town_wait "http://127.0.0.1:$(town_port 0 0)/parts/7"

echo "calls"
town_wait "http://127.0.0.1:$(town_port 2 0)/parts/7"
echo "  light load:  $(town_load 0 /parts/7 --connections 4 --seconds 3)"
echo "  overload:    $(town_load 0 /parts/7 --connections 200 --seconds 5)"
town_load 1 /orders --method POST --connections 8 --key demo --seconds 4 \
	>"$TOWN_DIR/orders" &
orders=$!
sleep 1
kill -TERM "$TOWN_NODE_3"
wait "$TOWN_NODE_3"
check "a node stops gracefully" [ $? -eq 0 ]
wait "$orders"
echo "  orders:      $(cat "$TOWN_DIR/orders")"
check "no order was cut by the stop" grep -q '"unknown":0,"lost":0' \
	"$TOWN_DIR/orders"
check "no order ran twice" sh -c \
	"curl -s http://127.0.0.1:$(town_port 0 4)/fake/stats |
	 grep -q '\"duplicates\":0'"
kill -KILL "$TOWN_NODE_2"
sleep 4
answer=$(curl -s "http://127.0.0.1:$(town_port 0 0)/stock/7")
check "a killed node is not called any more" \
	sh -c "echo '$answer' | grep -q no-endpoint"

if [ "$failures" -ne 0 ]; then
	echo "$failures promises broken"
	exit 1
fi
echo "every promise was kept"
