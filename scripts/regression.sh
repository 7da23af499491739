#!/usr/bin/env bash
# Scores deployments on the users' bench and compares the worth of each day (a
# scenario of the bench) with the baseline, docs/measurements/worth.tsv. Prints
# every day and marks those that are worse by 0.01 or more. Fails if a gate does
# not pass, if a rule is broken on a day that the bench's hunt command plays, or
# if a day is worse by 0.03 or more. 0.03 is the noise of the bench.
#
#   scripts/regression.sh [--hunt DAYS] [--jobs N] [--update] BENCH SITE...
#
# BENCH is the program of the bench and SITE a site file. --update writes the new
# values to the baseline.
set -euo pipefail
cd "$(dirname "$0")/.."
baseline=docs/measurements/worth.tsv
hunt=0 jobs=3 update=
while [ $# -gt 0 ]; do
	case $1 in
	--hunt) hunt=$2 && shift 2 ;;
	--jobs) jobs=$2 && shift 2 ;;
	--update) update=yes && shift ;;
	--*) echo "regression: unknown option $1" >&2 && exit 2 ;;
	*) break ;;
	esac
done
[ $# -ge 2 ] || { echo "regression: usage: regression.sh [--hunt DAYS] [--jobs N] [--update] BENCH SITE..." >&2 && exit 2; }
bench=$1
shift
logs=$(mktemp -d)
trap 'rm -rf "$logs"' EXIT
failed=

# Selects the lines of the standard days from the output of the bench. Its columns
# are name, machines, score, worth and more.
days() { awk -v site="$1" '$2 ~ /^[0-9]+\/[0-9]+$/ && $1 !~ /^fresh-/ { print site "\t" $1 "\t" $4 }' "$2"; }

for site in "$@"; do
	name=$(basename "$site" .toml)
	"$bench" score "$site" --jobs "$jobs" --why "regression run" >"$logs/$name" 2>&1 || true
	grep -q '^GATE passed' "$logs/$name" || { echo "$name: GATE not passed" && failed=yes && tail -n 5 "$logs/$name"; }
	days "$name" "$logs/$name" >>"$logs/worth.tsv"
	if [ "$hunt" -gt 0 ]; then
		"$bench" hunt "$site" --days "$hunt" --jobs "$jobs" --why "regression run" >"$logs/$name.hunt" 2>&1 || true
		grep -q ' 0 with a rule broken$' "$logs/$name.hunt" || { echo "$name: a day of the hunt broke a rule, or the hunt did not finish" && failed=yes; }
		grep -E 'BROKEN|with a rule broken|^snapshot' "$logs/$name.hunt" || true
	fi
done

awk -F '\t' -v OFS='\t' 'NR == FNR { old[$1, $2] = $3; next }
	{ was = old[$1, $2]; change = was == "" ? "" : sprintf("%+.3f", $3 - was)
	  note = was == "" ? "new" : ($3 - was <= -0.03 ? "LOST" : ($3 - was <= -0.01 ? "worse" : ""))
	  print $1, $2, was, $3, change, note; if (note == "LOST") lost = 1 }
	END { exit lost }' "$baseline" "$logs/worth.tsv" | column -t -s $'\t' || failed=yes
if [ -n "$update" ]; then
	awk -F '\t' 'NR == FNR { new[$1] = 1; next } !($1 in new)' "$logs/worth.tsv" "$baseline" >"$logs/kept"
	sort "$logs/kept" "$logs/worth.tsv" >"$baseline"
fi
[ -z "$failed" ]
