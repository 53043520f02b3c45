#!/usr/bin/env bash
# Builds the programs of the deploy file and the stand-ins of cases 11 to 15, which link the libraries that the deploy file's build leaves in target/.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B target -DCMAKE_BUILD_TYPE=Release -DREEDTRAIL_TESTS=OFF >/dev/null
cmake --build target -j8 --target reedtrail-edge reedtrail-storage
out=target/review-3
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -Wno-psabi -Wno-restrict -Wno-missing-field-initializers -DBOOST_ALL_DYN_LINK -I.)
objects=()
pids=()
for source in review/standins-3/deployment.cpp review/standins-3/machine_link.cpp review/standins-3/back_end.cpp \
    review/standins-3/memory_watch.cpp platform/testing/soak/store_standin.cpp; do
    object="$out/$(basename "$source" .cpp).o"
    objects+=("$object")
    g++ "${flags[@]}" -c "$source" -o "$object" &
    pids+=($!)
done
for source in review/standins-3/*_case.cpp; do
    g++ "${flags[@]}" -c "$source" -o "$out/$(basename "$source" .cpp).o" &
    pids+=($!)
done
for pid in "${pids[@]}"; do
    wait "$pid"
done
mapfile -t libraries < <(find target -name 'libreedtrail_*.a')
for source in review/standins-3/*_case.cpp; do
    name="$(basename "$source" .cpp)"
    g++ "$out/$name.o" "${objects[@]}" -Wl,--start-group "${libraries[@]}" -Wl,--end-group \
        -lboost_log -lboost_thread -lboost_filesystem -lssl -lcrypto -lxxhash -lpthread -o "$out/$name"
done
