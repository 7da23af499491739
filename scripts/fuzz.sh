#!/usr/bin/env bash
# Fuzzes every decoder and decision that takes bytes from outside, one after the
# other. The argument is the time for each, 30s if there is none. What it finds
# stands in the package's testdata and is played by its tests from then on.
set -euo pipefail
cd "$(dirname "$0")/.."
time=${1:-30s}
git grep -oE '^func Fuzz[A-Za-z]+' -- '*_test.go' | while IFS=: read -r file found; do
	name=${found#func }
	echo "== $(dirname "$file") $name"
	go test "./$(dirname "$file")" -run '^$' -fuzz "^$name\$" -fuzztime "$time" -parallel 3 </dev/null | tail -n 2
done
