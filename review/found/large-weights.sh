#!/usr/bin/env bash
# Plays a finding that is not among the cases. Exits with 1 if the rule was broken, with 0 if it held, with 2 if it could not run.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/review/lab ] && [ -x ../../target/cftd ] || exit 2
out=$(mktemp -d) || exit 2
../../target/review/lab -case large-weights -dir "$out" -cftd ../../target/cftd
code=$?
rm -r "$out"
exit $code
