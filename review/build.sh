#!/usr/bin/env bash
# Builds the stand-ins and the cases into target/review/. Needs the packages of the deploy file and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
compile=(g++ -std=c++20 -O1 -pthread)
for source in review/standins/*.cpp; do
    "${compile[@]}" -c "$source" -o "$out/$(basename "$source" .cpp).o" &
done
for case in review/[1-5]/case.cpp; do
    [ -e "$case" ] || continue
    "${compile[@]}" -c "$case" -o "$out/case$(basename "$(dirname "$case")").o" &
done
wait
for object in "$out"/case[1-5].o; do
    "${compile[@]}" "$object" "$out"/{httpservice,clientpath,record,upstream,deployment}.o -o "${object%.o}"
done
