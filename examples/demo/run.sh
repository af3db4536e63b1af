#!/bin/bash
# Demonstrates a cluster on loopback: calls through the nodes, accepted and
# refused patches, an overload, the graceful shutdown of one node and the kill
# of another; then prints a report. Exits with 1 if a check failed.
# Usage: run.sh BUILD_FOLDER
set -u
here=$(cd "$(dirname "$0")" && pwd)
. "$here/town.sh"
town_init "${1:-build}" 21000
failures=0

LOOKUP_RATE=300
ORDER_RATE=40
ATTEMPTS_BOUND=14
STOCK_US=2000
SLOW_STOCK_US=20000
# Goodput counts as recovered at this percentage of the normal goodput.
RECOVERED_PERCENT=90
WINDOW_S=0.5
WINDOWS=10

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

# value NAME FILE: prints the number NAME of the JSON object in the file.
value() {
	sed -nE "s/.*\"$1\":([0-9.]+).*/\1/p" "$2"
}

# load_to FILE NODE TARGET [OPTIONS...]: generates load and writes the result to
# FILE.
load_to() {
	file=$TOWN_DIR/$1
	shift
	town_load "$@" >"$file"
}

lookups() { # lookups FILE OPTIONS...
	file=$1
	shift
	load_to "$file" 2 /parts/7 "$@"
}

orders() { # orders FILE NODE SECONDS
	load_to "$1" "$2" /orders --method POST --key "$1" --connections 8 \
		--rate "$ORDER_RATE" --seconds "$3"
}

# stock_time MICROSECONDS: sets the mean service time of both stock endpoints.
stock_time() {
	for index in 2 3; do
		curl -s -o /dev/null -X PUT \
			"http://127.0.0.1:$(town_port $index 4)/fake/latency-us/$1"
	done
}

# metric NAME NODES...: prints the sum of a counter over the nodes.
metric() {
	name=$1
	shift
	for index in "$@"; do
		curl -s "http://127.0.0.1:$(town_port "$index" 2)/quetzalloft/metrics"
	done | awk -v name="quetzalloft_${name}_total" \
		'$1 == name { sum += $2 } END { print sum + 0 }'
}

# row NAME TEXT: prints a line of the report.
row() {
	printf '  %-24s %s\n' "$1" "$2"
}

# goodput FILE: prints the goodput of a load.
goodput() {
	echo "$(value ok_per_s "$TOWN_DIR/$1")/s"
}

# sent FILE: prints the number of requests, answered or not.
sent() {
	total=0
	for name in answered not-run refused unknown lost; do
		total=$((total + $(value "$name" "$TOWN_DIR/$1")))
	done
	echo "$total"
}

# whole FILE: prints how many of the requests were answered successfully.
whole() {
	echo "$(value ok "$TOWN_DIR/$1") of $(sent "$1")"
}

# ask COMMAND...: runs a command with the nodes 0, 1 and 2 as its servers.
ask() {
	"$TOWN_BUILD/src/cli/quetzalloft" "$@" --cluster "$TOWN_CLUSTER" \
		--server "$(town_control 0)" --server "$(town_control 1)" \
		--server "$(town_control 2)"
}

# most_attempts_of FILE: prints the highest number of attempts of any client
# request with events in the file.
most_attempts_of() {
	sed -nE '/"event":"attempt_sent"/s/.*"request":"([0-9a-f]+)".*/\1/p' \
		"$1" | sort | uniq -c | sort -n | awk '{ most = $1 }
			END { print most + 0 }'
}

# Prints the seconds until goodput has recovered; prints "over 5" and fails
# after 5 seconds.
recovery_time() {
	need=$(awk -v rate="$(value ok_per_s "$TOWN_DIR/normal")" \
		-v part="$RECOVERED_PERCENT" 'BEGIN { print rate * part / 100 }')
	for window in $(seq 1 "$WINDOWS"); do
		lookups window --rate "$LOOKUP_RATE" --connections 8 \
			--seconds "$WINDOW_S"
		awk -v found="$(value ok_per_s "$TOWN_DIR/window")" \
			-v need="$need" 'BEGIN { exit !(found >= need) }' &&
			break
		window=over
	done
	[ "$window" = over ] && echo "over 5" && return 1
	awk -v n="$window" -v s="$WINDOW_S" 'BEGIN { printf "%.1f", n * s }'
}

echo "four nodes in two failure domains, endpoints of three services"
town_node 0 ee-north-1 "\"registrar\": true, \"replica\": true,
	\"peers\": [\"$(town_control 1)\"]"
town_node 1 ee-north-2 "\"registrar\": true,
	\"replicas\": [\"$(town_control 0)\"],
	\"peers\": [\"$(town_control 0)\"]" 1
town_node 2 ee-north-1
town_node 3 ee-north-1
town_endpoint 0 orders --slots 60 --latency-us 2000 \
	--call stock:/stock/7 --call catalogue:/parts/7
town_endpoint 1 catalogue --slots 35 --latency-us 1000 --call stock:/stock/7
town_endpoint 2 stock --slots 15 --latency-us "$STOCK_US"
town_endpoint 3 stock --slots 15 --latency-us "$STOCK_US"
town_wait "http://127.0.0.1:$(town_port 0 2)/quetzalloft/status" || exit 1

echo "patches"
town_patch first 0 "$here/../kask-pojad.json" >/dev/null
check "the first patch is accepted" [ $? -eq 0 ]
printf '{"attempts": %s}' "$ATTEMPTS_BOUND" >"$TOWN_DIR/patch.json"
town_patch late 0 "$TOWN_DIR/patch.json" 2>"$TOWN_DIR/stale"
check "a patch against an old version is refused" [ $? -eq 4 ]
town_patch second 1 "$TOWN_DIR/patch.json" >"$TOWN_DIR/answer"
town_patch second 1 "$TOWN_DIR/patch.json" >"$TOWN_DIR/again"
check "a patch sent twice gets one answer" \
	cmp -s "$TOWN_DIR/answer" "$TOWN_DIR/again"
for node in 0 1 2; do
	town_wait "http://127.0.0.1:$(town_port $node 0)/parts/7" || exit 1
done

echo "normal load, then stock ten times slower under a surge of lookups"
orders normal_orders 1 3 &
normal_orders=$!
lookups normal --rate "$LOOKUP_RATE" --connections 8 --seconds 3
wait "$normal_orders"
stock_time "$SLOW_STOCK_US"
orders surge_orders 1 5 &
surge_orders=$!
lookups surge --connections 200 --seconds 5
wait "$surge_orders"
stock_time "$STOCK_US"
recovered_after=$(recovery_time)
check "goodput is back within 5 s of the overload's end" [ $? -eq 0 ]
check "lookups are shed" \
	[ "$(value not-run "$TOWN_DIR/surge")" -gt 0 ]
check "no order is shed while lookups are served" \
	[ "$(value ok "$TOWN_DIR/surge_orders")" -eq "$(sent surge_orders)" ]

echo "a node stops gracefully under orders, another is killed"
orders stop_orders 1 4 &
stop_orders=$!
sleep 1
kill -TERM "$TOWN_NODE_3"
wait "$TOWN_NODE_3"
check "the stopped node exits with 0" [ $? -eq 0 ]
wait "$stop_orders"
check "the stop cut no order" grep -q '"unknown":0,"lost":0' \
	"$TOWN_DIR/stop_orders"
requests=$(metric client_answered 0 1 2)
attempts=$(metric attempts 0 1 2)
ask timeline --json >"$TOWN_DIR/events" 2>/dev/null
most_attempts=$(most_attempts_of "$TOWN_DIR/events")
check "no request has more attempts than its bound" \
	[ "$most_attempts" -gt 0 -a "$most_attempts" -le "$ATTEMPTS_BOUND" ]
curl -s "http://127.0.0.1:$(town_port 0 4)/fake/stats" >"$TOWN_DIR/ran"
check "no order ran twice" [ "$(value duplicates "$TOWN_DIR/ran")" -eq 0 ]
ask status >"$TOWN_DIR/status"
check "version 2 is in force on every node" \
	[ "$(awk 'NR > 1 && $4 == 2' "$TOWN_DIR/status" | wc -l)" -eq 3 ]
kill -KILL "$TOWN_NODE_2"
wait "$TOWN_NODE_2" 2>/dev/null
sleep 4
check "a killed node is called no more" grep -q no-endpoint <<<"$(
	curl -s "http://127.0.0.1:$(town_port 0 0)/stock/7"
)"

echo
echo "report"
row "goodput of lookups" "$(goodput normal) normal, $(goodput surge) overload"
row "goodput of orders" \
	"$(goodput normal_orders) normal, $(goodput surge_orders) overload"
row "whole in the overload" \
	"lookups $(whole surge), orders $(whole surge_orders)"
row "recovery time" "$recovered_after s"
row "attempts an answer" "$(awk -v a="$attempts" -v r="$requests" \
	'BEGIN { printf "%.2f", a / r }') mean, $most_attempts most, \
bound $ATTEMPTS_BOUND"
row "duplicates" "$(value duplicates "$TOWN_DIR/ran") of \
$(value keys "$TOWN_DIR/ran") orders that ran"
row "version in force" "$(awk 'NR > 1 { printf "%s: %s  ", $2, $4 }' \
	"$TOWN_DIR/status")"
echo
if [ "$failures" -ne 0 ]; then
	echo "$failures promises broken"
	exit 1
fi
echo "every promise was kept"
