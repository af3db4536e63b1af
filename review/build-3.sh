#!/bin/sh
# Builds the stand-ins that the scripts of review 3 start.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
cc -std=gnu11 -O2 -Wall -Wextra -Werror -pthread \
	-o target/review-3/stand review/stand-3/stand.c
