#!/usr/bin/env bash
# Compares the mean worth of days between checkouts, over several seeds, without
# counting processor time. One pair of runs says little: a day's worth moves by luck.
#
#   BENCH=PROGRAM ./compare.sh SITE "DAY ..." "SEED ..." "WHY" DIR ...
set -euo pipefail
site=$1 days=$2 seeds=$3 why=$4
shift 4
jobs=${JOBS:-4}
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT

# play DIR DAY SEED prints the directory, the day, the seed and the worth.
play() {
	local report="$out/$(basename "$1").$2.$3"
	(cd "$1" && "$BENCH" run "$site" "$2" --seed "$3" --no-cpu --jobs 1 --why "$why") >"$report" 2>&1 || true
	echo "$(basename "$1") $2 $3 $(sed -n 's/^worth \([-0-9.]*\) =.*/\1/p' "$report") $(grep -c 'broken\|BROKEN' "$report" || true)"
}
export -f play
export out site why BENCH

for dir in "$@"; do
	(cd "$dir" && "$BENCH" build >/dev/null)
done
for dir in "$@"; do
	for day in $days; do
		for seed in $seeds; do
			printf '%s\0%s\0%s\0' "$dir" "$day" "$seed"
		done
	done
done | xargs -0 -n 3 -P "$jobs" bash -c 'play "$@"' _ | sort | tee "$out/all" |
	awk '{ print; if ($4 == "") { lost++; next } n[$1 " " $2]++; s[$1 " " $2] += $4; q[$1 " " $2] += $4 * $4; N[$1]++; S[$1] += $4 }
		END {
			for (k in n) { m = s[k] / n[k]; printf "mean %s %.3f (n %d, spread %.3f)\n", k, m, n[k], sqrt(q[k] / n[k] - m * m + 1e-12) }
			for (k in N) printf "mean %s %.3f (n %d)\n", k, S[k] / N[k], N[k]
			if (lost) printf "%d runs gave no worth\n", lost
		}'
