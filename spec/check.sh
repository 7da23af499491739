#!/usr/bin/env bash
# Checks the models with spin. The complete models must have no error. A variant
# leaves one rule out and must have an error, so that no rule is superfluous.
set -euo pipefail
cd "$(dirname "$0")"
models=$PWD
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cd "$work"

# Memory limit of the verifier, in MB.
readonly MEMORY_MB=2000

# verify MODEL KIND MACRO... prints the numbers of errors and of stored states.
# KIND is safety or liveness.
verify() {
	local model=$1 kind=$2 compile=(-DSAFETY) run=()
	shift 2
	if [ "$kind" = liveness ]; then
		compile=(-DNFAIR=6)
		run=(-a -f -N converges)
	fi
	rm -f pan*
	spin -a "$@" "$models/$model.pml" >spin.log 2>&1 || { cat spin.log; return 1; }
	gcc -O2 -w -DCOLLAPSE "-DMEMLIM=$MEMORY_MB" "${compile[@]}" -o pan pan.c
	if [ "$kind" = safety ]; then run=(-noclaim); fi
	./pan -m1000000 "${run[@]}" >pan.log 2>&1 || true
	if grep -qE 'Search not completed|max search depth too small|out of memory' pan.log && ! grep -q 'errors: [1-9]' pan.log; then
		cat pan.log
		return 1
	fi
	awk '/errors:/ { errors = $NF } /states, stored/ { states = $1 } END { print errors, states }' pan.log
}

holds() {
	local result errors states
	result=$(verify "$@") || { echo "$result"; exit 1; }
	read -r errors states <<<"$result"
	if [ "$errors" != 0 ]; then
		echo "FAIL $*: $errors errors"
		cat pan.log
		exit 1
	fi
	echo "ok   $*: no error in $states states"
}

fails() {
	local result errors states
	result=$(verify "$@") || { echo "$result"; exit 1; }
	read -r errors states <<<"$result"
	if [ "$errors" = 0 ]; then
		echo "FAIL $*: the rule left out is not needed by any property"
		exit 1
	fi
	echo "ok   $*: fails as it must"
}

holds request safety -DATTEMPTS=2
holds request safety -DATTEMPTS=3
for rule in NO_INCARNATION_CHECK NO_FREEZE RETRY_UNKNOWN FORGET_EXPIRED NO_CLOSE LATE_GRANT GRANT_TWICE DONE_UNCHECKED; do
	fails request safety -DATTEMPTS=2 "-D$rule"
done

holds handover safety
for rule in RETRY_AFTER_LOST NOT_RUN_ON_TIMEOUT RUN_AFTER_REFUSAL RUN_LOCALLY_TOO GRANT_UNCHECKED; do
	fails handover safety "-D$rule"
done

holds config safety -DRESTARTS=2
holds config liveness -DRESTARTS=2
for rule in ADOPT_LOWER NO_PEERS; do
	fails config safety "-D$rule"
done
for rule in NO_TIEBREAK NO_EXCHANGE; do
	fails config liveness "-D$rule"
done

holds ownership safety
for rule in NO_BUDGET OWN_PROBES_ONLY RESET_EARLY SURE_AFTER_RESTART FORGET_ON_COPY; do
	fails ownership safety "-D$rule"
done

holds recovery safety
for rule in FRESH_ON_RESTART EARLIER_LIST FLAG_ONLY NO_ANSWER LISTED_ONLY PARTIAL_LIST; do
	fails recovery safety "-D$rule"
done

holds flowtable safety
for rule in NO_RUNS FIRST_ANSWER GIVE_AGAIN NO_NAMES PART PASS_ON NO_DOUBT TWO_CUT; do
	fails flowtable safety "-D$rule"
done
