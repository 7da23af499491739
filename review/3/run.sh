#!/usr/bin/env bash
# Plays the case. It exits with 1 if the rule was broken, 0 if it held and 2 if the
# case could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
for program in "$root/review/bin/standin" "$root/target/trefoilweir"; do
	[ -x "$program" ] || { echo "run.sh: $program is not built" >&2; exit 2; }
done
exec "$root/review/bin/standin" unnamed-service FLOW "$root" "$here/record.txt"
