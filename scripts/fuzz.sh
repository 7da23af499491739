#!/usr/bin/env bash
# Runs every fuzz target, one after the other. They cover the decoders and the
# decisions that process bytes from outside. The argument is the time for each
# target, 30s by default. go test stores a failing input in the package's
# testdata, and the package's tests replay it from then on.
set -euo pipefail
cd "$(dirname "$0")/.."
time=${1:-30s}
git grep -oE '^func Fuzz[A-Za-z]+' -- '*_test.go' | while IFS=: read -r file found; do
	name=${found#func }
	echo "== $(dirname "$file") $name"
	go test "./$(dirname "$file")" -run '^$' -fuzz "^$name\$" -fuzztime "$time" -parallel 3 </dev/null | tail -n 2
done
