#!/bin/bash
# Measures real processes on loopback: the time from the acceptance of a patch
# until it is in force on every node, the time from SIGTERM or SIGKILL of a node
# until the other nodes have removed its endpoint, and the CPU time and memory
# of an idle node and an idle registrar. Prints one JSON object.
# Usage: distribution.sh BUILD_FOLDER [NODES [PATCHES [REST_SECONDS]]]
set -u
build=$1
nodes=${2:-25}
patches=${3:-40}
rest_s=${4:-10}
port=${QL_BENCH_PORT:-26000}
root=$(cd "$(dirname "$0")/.." && pwd)
. "$root/examples/demo/town.sh"
domains=3
town_init "$build" "$port"
declare -a pids

# registrars [DOMAIN]: JSON array of the registrars of a failure domain, or of
# all failure domains.
registrars() {
	list=
	for slot in 0 1; do
		for domain in 0 1 2; do
			[ "${1:-$domain}" = "$domain" ] || continue
			list="$list${list:+, }\"$(town_control \
				$((slot * domains + domain)))\""
		done
	done
	echo "[$list]"
}

start_node() { # start_node INDEX
	domain=$(($1 % domains))
	role="false"
	[ "$1" -lt $((2 * domains)) ] && role="true"
	replica="false"
	[ "$1" -eq 0 ] && replica="true"
	mkdir -p "$TOWN_DIR/data$1"
	cat >"$TOWN_DIR/node$1.json" <<-EOF
	{"cluster": "$TOWN_CLUSTER", "node": "node$1",
	 "failure_domain": "d$domain", "address": "127.0.0.1",
	 "client_port": $(town_port "$1" 0), "gate_port": $(town_port "$1" 1),
	 "local_port": $(town_port "$1" 2),
	 "control_port": $(town_port "$1" 3),
	 "data_folder": "$TOWN_DIR/data$1", "registrar": $role,
	 "replica": $replica, "replicas": ["$(town_control 0)"],
	 "registrars": $(registrars "$domain"), "peers": $(registrars)}
	EOF
	"$build/src/node/quetzalloftd" --config "$TOWN_DIR/node$1.json" \
		2>>"$TOWN_DIR/node$1.log" &
	pids[$1]=$!
	TOWN_PIDS="$TOWN_PIDS $!"
}

announce() { # announce INDEX SERVICE: an endpoint without a process
	curl -s -o /dev/null -X PUT -d "{\"service\": \"$2\",
		\"port\": $(town_port "$1" 4), \"slots\": 10,
		\"connections\": 100, \"lease_ms\": 60000}" \
		"http://127.0.0.1:$(town_port "$1" 2)/quetzalloft/endpoint"
}

cpu_ticks() {
	awk '{print $14 + $15}' "/proc/$1/stat"
}

# Mean CPU share in percent and mean resident memory in kB of nodes.
cost() { # cost FIRST LAST
	before=0
	after=0
	rss=0
	for i in $(seq "$1" "$2"); do
		before=$((before + ${ticks[$i]}))
		after=$((after + $(cpu_ticks "${pids[$i]}")))
		rss=$((rss + $(awk '/VmRSS/ {print $2}' \
			"/proc/${pids[$i]}/status")))
	done
	awk -v ticks=$((after - before)) -v rss=$rss -v n=$(($2 - $1 + 1)) \
		-v s="$rest_s" -v hz="$(getconf CLK_TCK)" 'BEGIN {
		printf "{\"cpu_percent\": %.3f, \"rss_kb\": %d}",
			100 * ticks / hz / s / n, rss / n }'
}

# Times of the log lines that match, in milliseconds since midnight.
stamps() { # stamps PATTERN FILE...
	pattern=$1
	shift
	grep -h "$pattern" "$@" | sed 's/.*time=[^T]*T\([0-9:.]*\)Z.*/\1/' |
		awk -F: '{printf "%d\n", ($1 * 60 + $2) * 60000 + $3 * 1000}'
}

quantiles() {
	sort -n | awk '{ v[NR] = $1 } END {
		if (!NR) { printf "null"; exit }
		printf "{\"n\": %d, \"p50_ms\": %d, \"p99_ms\": %d, " \
			"\"max_ms\": %d}", NR, v[int((NR + 1) / 2)],
			v[int(NR * 0.99 + 0.999)], v[NR] }'
}

# Lines "TIME VERSION" of an event, with TIME in milliseconds since midnight.
versions() { # versions EVENT FILE
	grep "event=$1 " "$2" | sed 's/.*time=[^T]*T\([0-9:.]*\)Z.* version=\([0-9]*\).*/\1:\2/' |
		awk -F: '{printf "%d %d\n", ($1 * 60 + $2) * 60000 + $3 * 1000, $4}'
}

# Delay in milliseconds of each patch on each node. When a node applies two
# patches at once, both are in force at that time.
patch_delays() {
	versions patch_accepted "$TOWN_DIR/node0.log" >"$TOWN_DIR/accepted"
	for i in $(seq 0 $((nodes - 1))); do
		versions config_in_force "$TOWN_DIR/node$i.log" |
			awk 'NR == FNR { at[$2] = $1; next }
				{ while (seen < $2) {
					seen++
					if (seen > 1)
						print $1 - at[seen]
				} }' "$TOWN_DIR/accepted" -
	done
}

gone_delays() { # gone_delays INDEX FROM_MS
	stamps "event=endpoint_gone.*:$(town_port "$1" 1)\b" \
		"$TOWN_DIR"/node*.log | awk -v from="$2" '{print $1 - from}'
}

now_ms() {
	date -u +%H:%M:%S.%N |
		awk -F: '{printf "%d", ($1 * 60 + $2) * 60000 + $3 * 1000}'
}

for i in $(seq 0 $((nodes - 1))); do
	start_node "$i"
done
town_wait "http://127.0.0.1:$(town_port 0 2)/quetzalloft/status" || exit 1
sleep 4
town_patch first 0 "$root/examples/kask-pojad.json" >/dev/null || exit 1
services=(catalogue orders manuals stock)
for i in $(seq 0 $((nodes - 1))); do
	announce "$i" "${services[$((i % 4))]}"
done
sleep 3
for i in $(seq 1 "$patches"); do
	echo "{\"attempts\": $((12 + i))}" >"$TOWN_DIR/patch.json"
	town_patch "patch-$i" "$i" "$TOWN_DIR/patch.json" >/dev/null || exit 1
	sleep "0.$((RANDOM % 9))"
done
sleep 3
for i in $(seq 0 $((nodes - 1))); do
	ticks[$i]=$(cpu_ticks "${pids[$i]}")
done
sleep "$rest_s"
registrar_cost=$(cost 0 $((2 * domains - 1)))
node_cost=$(cost $((2 * domains)) $((nodes - 1)))
term=$((nodes - 1))
term_ms=$(now_ms)
kill -TERM "${pids[$term]}"
sleep 8
killed=$((nodes - 2))
kill_ms=$(now_ms)
kill -KILL "${pids[$killed]}"
sleep 10
cat <<EOF
{"nodes": $nodes, "patches": $patches,
 "accepted_to_in_force": $(patch_delays | quantiles),
 "sigterm_to_forgotten": $(gone_delays "$term" "$term_ms" | quantiles),
 "sigkill_to_forgotten": $(gone_delays "$killed" "$kill_ms" | quantiles),
 "node_at_rest": $node_cost, "registrar_at_rest": $registrar_cost}
EOF
