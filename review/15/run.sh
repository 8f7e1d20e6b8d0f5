#!/usr/bin/env bash
# Exit: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/case-15 ] || exit 2
timeout -k 5 115 target/review-3/case-15
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
