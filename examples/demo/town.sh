# Shell functions that start a cluster of nodes and fake endpoints on loopback.
# Sourced by the demonstration, the benchmarks and the end-to-end tests.

TOWN_CLUSTER=demo
TOWN_PIDS=""

# town_init BUILD_FOLDER FIRST_PORT
# $TOWN_PORT_OFFSET is added to the ports, so that the tests of two checkouts
# can run at the same time.
town_init() {
	TOWN_BUILD=$1
	TOWN_PORT=$(($2 + ${TOWN_PORT_OFFSET:-0}))
	TOWN_DIR=$(mktemp -d)
	trap town_end EXIT
}

town_end() {
	for pid in $TOWN_PIDS; do
		kill -KILL "$pid" 2>/dev/null
	done
	wait 2>/dev/null
	rm -rf "$TOWN_DIR"
}

# town_port INDEX OFFSET: prints a port of the node: client 0, gate 1, local 2,
# control 3, endpoint 4.
town_port() {
	echo $((TOWN_PORT + $1 * 10 + $2))
}

# town_control INDEX: prints the address of the control port of the node.
town_control() {
	echo "127.0.0.1:$(town_port "$1" 3)"
}

# town_node INDEX DOMAIN [EXTRA_JSON [REGISTRAR]]: starts a node. REGISTRAR is
# the index of a registrar of the failure domain; the default is 0.
town_node() {
	mkdir -p "$TOWN_DIR/data$1"
	cat >"$TOWN_DIR/node$1.json" <<-EOF
	{"cluster": "$TOWN_CLUSTER", "node": "node$1",
	 "failure_domain": "$2", "address": "127.0.0.1",
	 "client_port": $(town_port "$1" 0), "gate_port": $(town_port "$1" 1),
	 "local_port": $(town_port "$1" 2),
	 "control_port": $(town_port "$1" 3),
	 "data_folder": "$TOWN_DIR/data$1",
	 "registrars": ["$(town_control "${4:-0}")"]${3:+, $3}}
	EOF
	"$TOWN_BUILD/src/node/quetzalloftd" --config "$TOWN_DIR/node$1.json" \
		2>>"$TOWN_DIR/node$1.log" &
	eval "TOWN_NODE_$1=$!"
	TOWN_PIDS="$TOWN_PIDS $!"
}

# town_endpoint INDEX SERVICE [OPTIONS...]: starts a fake endpoint for a node.
town_endpoint() {
	index=$1
	service=$2
	shift 2
	"$TOWN_BUILD/tests/fake_endpoint" --service "$service" \
		--port "$(town_port "$index" 4)" \
		--node "127.0.0.1:$(town_port "$index" 2)" "$@" \
		2>>"$TOWN_DIR/endpoint$index.log" &
	eval "TOWN_ENDPOINT_$index=$!"
	TOWN_PIDS="$TOWN_PIDS $!"
}

# town_wait URL: waits until the URL answers 200; fails after 10 seconds.
town_wait() {
	tries=0
	while [ "$(curl -s -o /dev/null -w '%{http_code}' "$1")" != 200 ]; do
		tries=$((tries + 1))
		if [ "$tries" -ge 100 ]; then
			echo "no answer from $1" >&2
			return 1
		fi
		sleep 0.1
	done
}

# town_patch ID BASE FILE: submits a patch to node 0.
town_patch() {
	"$TOWN_BUILD/src/cli/quetzalloft" config patch \
		--server "127.0.0.1:$(town_port 0 3)" \
		--cluster "$TOWN_CLUSTER" --id "$1" --base "$2" "$3"
}

# town_load NODE TARGET [OPTIONS...]: generates load and prints the result.
town_load() {
	node=$1
	target=$2
	shift 2
	"$TOWN_BUILD/tests/load" --address "127.0.0.1:$(town_port "$node" 0)" \
		--target "$target" "$@"
}
