# Shell functions that start a small town of nodes and fake endpoints on
# loopback. Sourced by the demonstration and by the tests of the whole path.

TOWN_CLUSTER=demo
TOWN_PIDS=""

# town_init BUILD_FOLDER FIRST_PORT
# $TOWN_PORT_OFFSET moves the ports, so that two checkouts can run at once.
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

# Ports of node INDEX: client +0, gate +1, local +2, control +3, endpoint +4.
town_port() {
	echo $((TOWN_PORT + $1 * 10 + $2))
}

# Address of the control port of node INDEX.
town_control() {
	echo "127.0.0.1:$(town_port "$1" 3)"
}

# town_node INDEX DOMAIN [EXTRA_JSON [REGISTRAR]]: REGISTRAR is the index of a
# registrar of the failure domain, 0 unless given.
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

# town_endpoint INDEX SERVICE [OPTIONS...]
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

# town_wait URL [HEADER]: until it answers 200, for 10 seconds at most.
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

# town_patch ID BASE FILE
town_patch() {
	"$TOWN_BUILD/src/cli/quetzalloft" config patch \
		--server "127.0.0.1:$(town_port 0 3)" \
		--cluster "$TOWN_CLUSTER" --id "$1" --base "$2" "$3"
}

# town_load NODE TARGET [OPTIONS...]
town_load() {
	node=$1
	target=$2
	shift 2
	"$TOWN_BUILD/tests/load" --address "127.0.0.1:$(town_port "$node" 0)" \
		--target "$target" "$@"
}
