#!/bin/bash
# Measures the cost of recording a timeline event and of incrementing a counter
# against bounds derived from the 0.46 ms that may be added to a call. Writes
# the results as JSON and a plot into the folder; fails if a bound is exceeded.
# Usage: timeline.sh BUILD_FOLDER RESULT_FOLDER
set -eu
build=$1
results=$2

# A call records up to 6 events and increments up to 12 counters on its way
# through both nodes. Each of the two may use a hundredth of the 460 us.
BUDGET_NS=4600
EVENTS=6
COUNTS=12

mkdir -p "$results"
for name in timeline metrics; do
	"$build/bench/${name}_bench" --benchmark_out_format=json \
		--benchmark_out="$results/$name.json" >/dev/null 2>&1
done

# times BENCHMARK FILE: one line "THREADS NS" with the CPU time of an operation
# for each number of threads.
times() {
	tr -d ' ,"' <"$results/$2" | awk -F: -v wanted="$1" '
		$1 == "name" { split($2, part, "/"); is = part[1] == wanted }
		$1 == "threads" { threads = $2 }
		$1 == "cpu_time" && is { print threads, $2 }'
}

# within NAME TIMES NUMBER: fails if NUMBER operations in one thread exceed the
# budget.
within() {
	awk -v name="$1" -v number="$3" -v budget="$BUDGET_NS" '
		$1 == 1 {
			spent = $2 * number
			printf "%s: %d a call, %.0f ns of %d ns\n", name,
				number, spent, budget
			found = spent <= budget
		}
		END { exit !found }' "$2"
}

times BM_Record timeline.json >"$results/record.dat"
times BM_CountSpread metrics.json >"$results/count.dat"
times BM_Histogram metrics.json >"$results/histogram.dat"
gnuplot <<-PLOT
	set terminal svg size 640,400
	set output "$results/timeline.svg"
	set title "Processor time by threads that do nothing else"
	set xlabel "threads"
	set ylabel "ns"
	set logscale y
	set key left top
	plot "$results/record.dat" with linespoints title "record", \
		"$results/count.dat" with linespoints title "count", \
		"$results/histogram.dat" with linespoints title "histogram"
PLOT
within "events" "$results/record.dat" "$EVENTS"
within "counts" "$results/count.dat" "$COUNTS"
within "histograms" "$results/histogram.dat" "$COUNTS"
