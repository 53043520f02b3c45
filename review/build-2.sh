#!/usr/bin/env bash
# Builds the cases 6 to 10 and their stand-ins into target/review; comes after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
libraries=(target/platform/libreedtrail_platform.a target/batch/libreedtrail_batch.a target/fleet/libreedtrail_fleet.a target/weights/libreedtrail_weights.a
    target/net/libreedtrail_net.a target/net/libreedtrail_peer_transport.a target/kernel/libreedtrail_kernel.a target/base/libreedtrail_base.a)
flags=(-std=c++20 -O1 -I. -DBOOST_ALL_DYN_LINK -Wall -Wextra -Wno-psabi -Wno-restrict)
g++ "${flags[@]}" -c review/standins-2/deployment.cpp -o target/review/deployment.o
g++ "${flags[@]}" -c platform/testing/soak/store_standin.cpp -o target/review/store_standin.o
for source in review/[6-9]/play.cpp review/10/play.cpp; do
    [ -f "$source" ] || continue
    number="$(basename "$(dirname "$source")")"
    g++ "${flags[@]}" "$source" target/review/deployment.o target/review/store_standin.o "${libraries[@]}" "${libraries[@]}" \
        -lxxhash -lboost_log -lboost_thread -lboost_filesystem -lssl -lcrypto -lpthread -o "target/review/case-$number"
done
