#!/bin/bash
# Measures the latency that the two nodes add to a call: calls the endpoint
# directly and through the nodes, in one run. Writes one JSON line for each
# number of connections.
# Usage: path.sh BUILD_FOLDER [SECONDS] [RATE_PER_CONNECTION]
set -u
root=$(cd "$(dirname "$0")/.." && pwd)
. "$root/examples/demo/town.sh"
seconds=${2:-4}
rate=${3:-100}
town_init "$1" 19000

field() { # field NAME < JSON
	sed "s/.*\"$1\":\([0-9]*\).*/\1/"
}

row() { # row CONNECTIONS
	total=$(($1 * rate))
	direct=$("$TOWN_BUILD/tests/load" --target /parts/1 --seconds "$seconds" \
		--address "127.0.0.1:$(town_port 1 4)" \
		--connections "$1" --rate "$total")
	nodes=$(town_load 0 /parts/1 --seconds "$seconds" \
		--connections "$1" --rate "$total")
	for name in p50_us p99_us; do
		a=$(echo "$direct" | field $name)
		b=$(echo "$nodes" | field $name)
		eval "direct_$name=$a nodes_$name=$b added_$name=$((b - a))"
	done
	echo "{\"connections\":$1,\"rate_per_s\":$total,\"direct_p50_us\":$direct_p50_us,\"direct_p99_us\":$direct_p99_us,\"nodes_p50_us\":$nodes_p50_us,\"nodes_p99_us\":$nodes_p99_us,\"added_p50_us\":$added_p50_us,\"added_p99_us\":$added_p99_us,\"target_p99_us\":460,\"ok\":$(echo "$nodes" | field ok)}"
}

town_node 0 d1 '"registrar": true, "replica": true'
town_node 1 d1
town_endpoint 1 catalogue --latency-us 0 --slots 64 --connections 2000
town_wait "http://127.0.0.1:$(town_port 0 2)/quetzalloft/status" || exit 1
town_patch first 0 "$root/examples/kask-pojad.json" >/dev/null || exit 1
town_wait "http://127.0.0.1:$(town_port 0 0)/parts/1" || exit 1
for connections in ${PATH_CONNECTIONS:-1 8 64}; do
	row "$connections"
done
