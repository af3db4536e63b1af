#!/bin/bash
# Measures memory, threads and CPU time of the nodes of the client and of the
# endpoint, idle and with many keep-alive connections. Writes one JSON line for
# each number of connections.
# Usage: connections.sh BUILD_FOLDER [SECONDS]
set -u
root=$(cd "$(dirname "$0")/.." && pwd)
. "$root/examples/demo/town.sh"
seconds=${2:-5}
town_init "$1" 19200
ticks_per_s=$(getconf CLK_TCK)

ticks() { # ticks PID: CPU time used so far, in clock ticks
	sed 's/.*) //' "/proc/$1/stat" | awk '{print $12 + $13}'
}

status() { # status PID NAME
	awk -v name="$2:" '$1 == name {print $2}' "/proc/$1/status"
}

row() { # row CONNECTIONS RATE
	before_0=$(ticks "$TOWN_NODE_0")
	before_1=$(ticks "$TOWN_NODE_1")
	if [ "$1" -gt 0 ]; then
		town_load 0 /parts/1 --seconds "$seconds" --connections "$1" \
			--rate "$2" >"$TOWN_DIR/load" &
		load=$!
	else
		echo '{"ok":0}' >"$TOWN_DIR/load"
	fi
	sleep $((seconds - 1))
	rss_0=$(status "$TOWN_NODE_0" VmRSS)
	rss_1=$(status "$TOWN_NODE_1" VmRSS)
	threads_0=$(status "$TOWN_NODE_0" Threads)
	[ "$1" -eq 0 ] || wait "$load"
	ok=$(sed 's/.*"ok":\([0-9]*\).*/\1/' "$TOWN_DIR/load")
	used_0=$((($(ticks "$TOWN_NODE_0") - before_0) * 1000 / ticks_per_s))
	used_1=$((($(ticks "$TOWN_NODE_1") - before_1) * 1000 / ticks_per_s))
	echo "{\"connections\":$1,\"ok\":$ok,\"router_rss_kb\":$rss_0,\"gate_rss_kb\":$rss_1,\"router_threads\":$threads_0,\"router_cpu_ms\":$used_0,\"gate_cpu_ms\":$used_1}"
}

town_node 0 d1 '"registrar": true, "replica": true'
town_node 1 d1
town_endpoint 1 catalogue --latency-us 0 --slots 2000 --connections 4000
town_wait "http://127.0.0.1:$(town_port 0 2)/quetzalloft/status" || exit 1
town_patch first 0 "$root/examples/kask-pojad.json" >/dev/null || exit 1
town_wait "http://127.0.0.1:$(town_port 0 0)/parts/1" || exit 1
row 0 0
row 64 2000
row 450 2000
row 1900 2000
