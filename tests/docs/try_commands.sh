#!/bin/bash
# Runs the marked blocks of the pages against a small town on loopback.
#
#	<!-- try: [status N,] [expect "TEXT"] -->
#	```sh
#
# marks a block: it must end with status N, 0 unless given, and print TEXT.
# Usage: try_commands.sh BUILD_FOLDER
set -u
root=$(cd "$(dirname "$0")/../.." && pwd)
. "$root/examples/demo/town.sh"
town_init "$1" 20000
build=$(cd "$1" && pwd)
export PATH=$build/src/cli:$build/src/node:$PATH
export QUETZALLOFT_CONFIG=$TOWN_DIR/defaults.json
echo '{}' >"$QUETZALLOFT_CONFIG"
cd "$root" || exit 1
failures=0
blocks=0

fail() {
	echo "FAILED: $1" >&2
	failures=$((failures + 1))
}

# The pages use the ports from 20000 on; the town may have been moved.
move_ports() {
	sed -E "s/127\.0\.0\.1:200([0-9]{2})/127.0.0.1:$((TOWN_PORT / 100))\1/g"
}

# try PAGE LINE STATUS TEXT: runs the block in the file "block".
try() {
	move_ports <"$TOWN_DIR/block" >"$TOWN_DIR/moved"
	bash -c ". '$TOWN_DIR/kept'; . '$TOWN_DIR/moved'
		found=\$?; export -p >'$TOWN_DIR/kept'; exit \$found" \
		>"$TOWN_DIR/out" 2>&1
	found=$?
	blocks=$((blocks + 1))
	if [ "$found" -ne "$3" ]; then
		fail "$1:$2: status $found, not $3: $(cat "$TOWN_DIR/out")"
	elif ! grep -qF -- "$4" "$TOWN_DIR/out"; then
		fail "$1:$2: does not print \"$4\": $(cat "$TOWN_DIR/out")"
	fi
}

# try_page PAGE
try_page() {
	number=0
	state=text
	: >"$TOWN_DIR/kept"
	while IFS= read -r line; do
		number=$((number + 1))
		case $state:$line in
		text:'<!-- try'*)
			state=marked
			status=$(sed -nE 's/.*status ([0-9]+).*/\1/p' \
				<<<"$line")
			text=$(sed -nE 's/.*expect "(.*)" -->/\1/p' \
				<<<"$line" | sed 's/\\"/"/g')
			;;
		marked:'```sh')
			state=block
			: >"$TOWN_DIR/block"
			;;
		marked:*)
			fail "$1:$number: no block of shell after the mark"
			state=text
			;;
		block:'```')
			try "$1" "$number" "${status:-0}" "$text"
			state=text
			;;
		block:*)
			printf '%s\n' "$line" >>"$TOWN_DIR/block"
			;;
		esac
	done <"$1"
}

town_node 0 d1 '"registrar": true, "replica": true'
town_node 1 d1
town_endpoint 0 catalogue --latency-us 100 --call stock:/stock/7
town_endpoint 1 stock --latency-us 100
town_wait "http://127.0.0.1:$(town_port 0 2)/quetzalloft/status" || exit 1
town_patch first 0 examples/kask-pojad.json >/dev/null || exit 1
town_wait "http://127.0.0.1:$(town_port 0 0)/parts/7" || exit 1
for page in README.md docs/*.md; do
	try_page "$page"
done
echo "$blocks blocks, $failures failures"
[ "$blocks" -gt 0 ] && [ "$failures" -eq 0 ]
