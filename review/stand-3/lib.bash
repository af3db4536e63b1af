# Sourced by the scripts of review 3: starts the programs of the deploy file
# and the stand-ins on loopback addresses, and ends all that it started.
# shellcheck shell=bash
case_folder=$(cd "$(dirname "$0")" && pwd)
cd "$case_folder/../.." || exit 2
program=target/src/node/quetzalloftd
stand=target/review-3/stand
record=$case_folder/record.txt
trouble=${TROUBLE:-1}
folder=$(mktemp -d) || exit 2
pids=()
# The pid of what was started last, and of each node and replica by its number.
started=0
node_pid=()
core_pid=()
n_cores=3

finish() {
	local pid
	for pid in "${pids[@]}"; do
		kill -CONT "$pid" 2>/dev/null
		kill -KILL "$pid" 2>/dev/null
	done
	for pid in "${pids[@]}"; do
		while kill -0 "$pid" 2>/dev/null; do
			sleep 0.05
		done
	done
	[ -z "${KEEP:-}" ] || cp "$folder/output" "$KEEP"
	rm -rf "$folder"
}
trap finish EXIT
trap 'exit 2' INT TERM

could_not_run() {
	echo "could not run: $*" | tee -a "$record"
	exit 2
}

verdict() {
	echo "$2" | tee -a "$record"
	exit "$1"
}

[ -x "$program" ] || could_not_run "no $program, build it first"
[ -x "$stand" ] || could_not_run "no $stand, run review/build-3.sh"
: >"$record"
port=$($stand port 8) || could_not_run "no free ports"

# The ports that all addresses use.
client_port=$port
control_port=$((port + 1))
gate_port=$((port + 2))
ready_port=$((port + 3))
rpc_port=$((port + 4))
metrics_port=$((port + 5))
server_port=$((port + 6))

core_ip() {
	echo "127.77.1.$1"
}

node_ip() {
	echo "127.77.2.$1"
}

seeds() {
	local i list=""
	for i in ${seed_numbers:-1 2 3}; do
		list="$list\"$(core_ip "$i"):$control_port\", "
	done
	echo "${list%, }"
}

run_in_background() {
	"$@" >>"$folder/output" 2>&1 &
	started=$!
	disown "$started"
	pids+=("$started")
}

# start_core NUMBER BOOTSTRAP, with the fields of deploy/replica.json.in
start_core() {
	local ip
	ip=$(core_ip "$1")
	mkdir -p "$folder/core-$1"
	cat >"$folder/core-$1.json" <<-END
		{"role": "replica", "cluster": "quetzalloft", "node": "core-$1",
		"failure_domain": "north", "placement": "zone-$1",
		"address": "$ip", "control_port": $rpc_port, "bootstrap": $2,
		"seeds": [$(seeds)],
		"listen": {"operator": "$ip:$control_port",
		"metrics": "$ip:$metrics_port"},
		"data_folder": "$folder/core-$1", "replica_losses": 1,
		"grace_ms": "6s", "charts": "charts"}
	END
	run_in_background "$program" --config "$folder/core-$1.json"
	core_pid[$1]=$started
}

# start_node NUMBER SERVICE, with the fields of deploy/node.json.in
start_node() {
	local ip
	ip=$(node_ip "$1")
	cat >"$folder/node-$1.json" <<-END
		{"role": "node", "cluster": "quetzalloft", "node": "node-$1",
		"failure_domain": "north", "placement": "zone-a",
		"address": "$ip", "control_port": $rpc_port,
		"seeds": [$(seeds)],
		"listen": {"client": "$ip:$client_port",
		"gate": "$ip:$gate_port", "ready": "$ip:$ready_port",
		"announce": "$ip:$control_port",
		"metrics": "$ip:$metrics_port"},
		"endpoint": {"address": "$ip:$server_port", "service": "$2"},
		"drain_ms": 2400, "repeat_ratio": 0.2, "grace_ms": "6s",
		"charts": "charts"}
	END
	run_in_background "$program" --config "$folder/node-$1.json"
	node_pid[$1]=$started
}

# start_server NUMBER ID SERVICE OPTION...
start_server() {
	local ip id=$2 service=$3
	ip=$(node_ip "$1")
	shift 3
	run_in_background "$stand" server "record=$record" "id=$id" \
		"service=$service" "listen=$ip:$server_port" \
		"control=$ip:$control_port" "$@"
}

route() { # NAME HOST PREFIX KIND SERVICE TIMEOUT TARGET
	cat <<-END
		{"resourceType": "routes", "metadata": {"name": "$1"}, "spec":
		{"host": "$2", "pathPrefix": "$3", "kind": "$4",
		"timeout": "$6", "targetLatency": "$7", "priority": 0,
		"service": "$5", "attempts": 2}},
	END
}

service() { # NAME
	cat <<-END
		{"resourceType": "services", "metadata": {"name": "$1"}, "spec":
		{"healthPath": "/health", "maxConnections": 514,
		"protocol": "h1", "tls": false}},
	END
}

limits() {
	cat <<-END
		{"resourceType": "limits", "metadata": {}, "spec":
		{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864,
		"headerTimeout": "3000ms", "idleTimeout": "15000ms"}}
	END
}

# put_config BASE VERSION RESOURCES: sends it until it is acknowledged.
put_config() {
	local turn answer body
	body="{\"version\": $2, \"resources\": [$3]}"
	for turn in $(seq 1 100); do
		answer=$($stand call PUT \
			"$(core_ip $((turn % n_cores + 1))):$control_port" \
			/quetzalloft/config "Base-Version: $1" "$body")
		case $answer in
		200*) return 0 ;;
		4*) could_not_run "the configuration is refused: $answer" ;;
		esac
		sleep 0.1
	done
	could_not_run "the configuration has no confirmation: $answer"
}

# wait_for STATUS ADDRESS PATH HOST: until a GET has that answer.
wait_for() {
	local turn answer=
	for turn in $(seq 1 150); do
		answer=$($stand call GET "$2" "$3" "Host: $4")
		case $answer in
		"$1"*) return 0 ;;
		esac
		sleep 0.1
	done
	could_not_run "no answer $1 of $2 $3: $answer"
}

start_cores() {
	local i
	for i in $(seq 1 "$n_cores"); do
		start_core "$i" true
	done
}
