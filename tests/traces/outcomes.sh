#!/bin/bash
# Replays the stored traces with several surge factors: every stated outcome
# must hold. Also checks that the stored traces are those that generate writes.
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
