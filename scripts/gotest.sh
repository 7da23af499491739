#!/usr/bin/env bash
# Runs go test, skips exactly the tests that are listed in KNOWN-RED.txt and
# prints them. An entry is one line: PACKAGE TEST, then a bar, then the command
# and seed, the observed failure and the issue. Arguments: flags of go test, then
# package patterns.
set -euo pipefail
cd "$(dirname "$0")/.."
known=KNOWN-RED.txt
# The timeout only ends a test that hangs; it leaves room for a slow machine.
flags=(-timeout 20m)
patterns=()
for argument in "$@"; do
	case $argument in
	-*) flags+=("$argument") ;;
	*) patterns+=("$argument") ;;
	esac
done

entries=$(grep -vE '^(#|[[:space:]]*$)' "$known" 2>/dev/null || true)

# skip_of PACKAGE prints the -skip expression for the package's entries.
skip_of() {
	awk -v package="$1" '$1 == package {
		gsub("/", "$/^", $2)
		printf "%s^%s$", separator, $2
		separator = "|"
	}' <<<"$entries"
}

code=0
plain=()
for package in $(go list "${patterns[@]}"); do
	skip=$(skip_of "$package")
	if [ -z "$skip" ]; then
		plain+=("$package")
		continue
	fi
	echo "KNOWN RED, not run in $package: $skip"
	go test "${flags[@]}" -skip "$skip" "$package" || code=1
done
if [ "${#plain[@]}" -gt 0 ]; then
	go test "${flags[@]}" "${plain[@]}" || code=1
fi
exit "$code"
