#!/bin/bash
# Replays the kept traces at several loads; every stated outcome must hold.
# Usage: outcomes.sh QUETZALLOFT
set -u
cd "$(dirname "$0")"
status=0
for trace in *.jsonl; do
	for surge in 2 4 10; do
		"$1" replay --surge "$surge" "$trace" >/dev/null || {
			echo "FAILED: $trace at $surge times the demand" >&2
			status=1
		}
	done
done
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
./generate "$folder" || status=1
for trace in *.jsonl; do
	cmp "$trace" "$folder/$trace" || status=1
done
exit $status
