#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
flags=(-std=c++20 -O1 -g -Wall -Wextra -I. -pthread)
pids=()
for source in review/standin/*.cc review/[1-5]/*.cc; do
  object=target/review/$(echo "${source%.cc}" | tr / -).o
  g++ "${flags[@]}" -c "$source" -o "$object" &
  pids+=($!)
done
for pid in "${pids[@]}"; do
  wait "$pid"
done
for folder in review/[1-5]; do
  [ -e "$folder/case.cc" ] || continue
  number=${folder#review/}
  g++ "${flags[@]}" target/review/review-standin-*.o "target/review/review-$number-"*.o \
    -o "target/review/case$number" -lboost_json
done
