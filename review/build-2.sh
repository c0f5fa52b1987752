#!/usr/bin/env bash
# Builds the stand-ins and the scripted cases of the second review into target/review-2/. Needs the packages of the deploy file and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
compile=(g++ -std=c++20 -O1 -pthread)
pids=()
for source in review/standins-2/*.cpp; do
    "${compile[@]}" -c "$source" -o "$out/$(basename "$source" .cpp).o" &
    pids+=($!)
done
for number in 6 7 8 9 10; do
    [ -e "review/$number/case.cpp" ] || continue
    "${compile[@]}" -c "review/$number/case.cpp" -o "$out/case$number.o" &
    pids+=($!)
done
for pid in "${pids[@]}"; do
    wait "$pid"
done
for object in "$out"/case*.o; do
    "${compile[@]}" "$object" "$out"/{deployment,http,json,record,store,worker}.o -o "${object%.o}"
done
