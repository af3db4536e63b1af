#!/bin/bash
# Cost of a record of the time line and of a count, against bounds that follow
# from the 0.46 ms that may be added to a call. Writes results as JSON and a
# plot into the folder, and fails when a bound is broken.
# Usage: timeline.sh BUILD_FOLDER RESULT_FOLDER
set -eu
build=$1
results=$2

# A call has up to 6 events and 12 counts on its way through both nodes. A
# hundredth of the 460 us may go into either.
BUDGET_NS=4600
EVENTS=6
COUNTS=12

mkdir -p "$results"
for name in timeline metrics; do
	"$build/bench/${name}_bench" --benchmark_out_format=json \
		--benchmark_out="$results/$name.json" >/dev/null 2>&1
done

# times BENCHMARK FILE: threads and processor time in ns, one line each.
times() {
	tr -d ' ,"' <"$results/$2" | awk -F: -v wanted="$1" '
		$1 == "name" { split($2, part, "/"); is = part[1] == wanted }
		$1 == "threads" { threads = $2 }
		$1 == "cpu_time" && is { print threads, $2 }'
}

# within NAME TIMES NUMBER: one thread's time for NUMBER of them.
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
