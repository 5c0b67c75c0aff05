#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
cd "$(dirname "$0")/../.."
for program in target/auburnyardd target/review-3/review-3; do
  [ -x "$program" ] || { echo "$program is not built"; exit 2; }
done
exec target/review-3/review-3 refused target/auburnyardd review/14/record.txt
