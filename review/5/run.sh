#!/usr/bin/env bash
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
program=$root/target/review-2/case-5
[ -x "$program" ] && [ -x "$root/target/pinford" ] || exit 2
timeout 115 "$program" "$root" "$here"
code=$?
[ $code -le 2 ] || code=2
exit $code
