#!/usr/bin/env bash
# Brings up three availability zones with stand-ins on loopback, takes the whole path, with faults, prints what happened, and stops what it started.
set -euo pipefail
cd "$(dirname "$0")/.."

step() { echo "[$(( SECONDS - started_at )) s] $*"; }
started_at=$SECONDS
echo "building (the first time takes some minutes)"
./scripts/install_deps.sh
cmake --preset release >/dev/null
cmake --build build/release --target reedtrail-gate reedtrail-steward reedtrail-spool reedtrailctl reedtrail-standin reedtrail-load >/dev/null
bin="$PWD/build/release/bin"
folder=$(mktemp -d "${TMPDIR:-/tmp}/reedtrail-demo-XXXXXX")
python3 scripts/demo/make_settings.py "$folder"

declare -A pids
failures=0
stop_all() {
    for name in "${!pids[@]}"; do kill -CONT "${pids[$name]}" 2>/dev/null || true; kill -KILL "${pids[$name]}" 2>/dev/null || true; done
    wait 2>/dev/null || true
}
trap stop_all EXIT
start() { # NAME COMMAND...
    local name=$1
    shift
    "$@" >"$folder/$name.out" 2>"$folder/$name.log" &
    pids[$name]=$!
}
check() { # TEXT COMMAND...: notes whether the command succeeds
    local text=$1
    shift
    if "$@" >"$folder/check.out" 2>&1; then echo "  ok    $text"; else echo "  FAIL  $text"; sed 's/^/        /' "$folder/check.out" | tail -5; failures=$((failures + 1)); fi
}
wait_for() { # SECONDS COMMAND...: repeats a command until it succeeds
    local end=$((SECONDS + $1))
    shift
    until "$@" >"$folder/wait.out" 2>&1; do
        [ $SECONDS -lt $end ] || { cat "$folder/wait.out"; return 1; }
        sleep 0.2
    done
}
nodes=(a1 a2 b1 b2 c1 c2)
declare -A first_port
for i in "${!nodes[@]}"; do first_port[${nodes[$i]}]=$((18000 + 10 * i)); done
callers() { echo "127.0.0.1:${first_port[$1]}"; }
operators() { echo "127.0.0.1:$((first_port[$1] + 4))"; }
ctl() { "$bin/reedtrailctl" --token operator-token "$@"; }

start_node() {
    local node=$1
    start "steward-$node" "$bin/reedtrail-steward" --settings "$folder/node-$node.json"
    start "gate-$node" "$bin/reedtrail-gate" --settings "$folder/node-$node.json"
    if [ "${node:1}" = 1 ]; then start "spool-$node" "$bin/reedtrail-spool" --settings "$folder/node-$node.json"; fi
}
revision_on() { curl -sf -H 'Authorization: Bearer operator-token' "http://$(operators "$1")/v1/settings" | python3 -c 'import json,sys; print(json.load(sys.stdin)["revision"])'; }
all_have_revision() { for node in "${nodes[@]}"; do [ "$(revision_on "$node")" -ge "$1" ] || return 1; done; }
plan_and_confirm() { # ARGUMENTS OF plan...
    local plan
    plan=$(ctl --json --steward "$(operators a1)" plan "$@" | python3 -c 'import json,sys; print(json.load(sys.stdin)["plan"])')
    ctl --steward "$(operators a1)" confirm "$plan"
}

step "starting stand-ins"
start store "$bin/reedtrail-standin" store --listen 127.0.0.1:19000
start vm-list "$bin/reedtrail-standin" vm-list --listen 127.0.0.1:19001
start weight-store "$bin/reedtrail-standin" weight-store --listen 127.0.0.1:19002
index=0
for zone in a b c; do
    for number in 1 2; do
        start "engine-$zone$number" "$bin/reedtrail-standin" engine --listen "127.0.0.1:$((19010 + index))" --name "engine-$zone$number" --checks-fencing --weight-store 127.0.0.1:19002 --seed "$index"
        index=$((index + 1))
    done
done
index=0
for zone in a b c; do
    start "logbook-$zone" "$bin/reedtrail-standin" service --listen "127.0.0.1:$((19020 + index))" --name "logbook-${zone}1"
    start "proof-$zone" "$bin/reedtrail-standin" service --listen "127.0.0.1:$((19030 + index))" --name "proof-${zone}1"
    start "scorer-$zone" "$bin/reedtrail-standin" scorer --listen "127.0.0.1:$((19040 + index))" --name "scorer-${zone}1"
    index=$((index + 1))
done
step "starting six nodes in three availability zones"
for node in "${nodes[@]}"; do start_node "$node"; done
wait_for 20 curl -sf -H 'Authorization: Bearer operator-token' "http://$(operators a1)/v1/status"

step "an operator plans and confirms the fleet document"
check "plan and confirm" plan_and_confirm "$folder/fleet.json"
check "in force on all nodes" wait_for 10 all_have_revision 1
sleep 1

step "a note is saved, a summary is streamed, a proof is ordered once"
auth=(-H 'Authorization: Bearer token-trust-a')
check "note saved" curl -sf "${auth[@]}" -d '{"note":"stove mended"}' "http://$(callers a1)/svc/logbook/notes"
check "summary streamed to its end" bash -c "curl -sfN -H 'Authorization: Bearer token-trust-a' -d '{\"model\":\"summarizer\",\"prompt\":\"stove mended\",\"stream\":true,\"max_tokens\":32}' http://$(callers b1)/v1/completions | grep -q 'DONE'"
order_twice() {
    local ticket first second
    ticket=$(curl -sf -X POST "${auth[@]}" "http://$(callers a1)/v1/tickets" | python3 -c 'import json,sys; print(json.load(sys.stdin)["ticket"])')
    first=$(curl -sf "${auth[@]}" -H "Reedtrail-Ticket: $ticket" -d '{"order":"menu 7"}' "http://$(callers a1)/svc/proof-desk/orders")
    second=$(curl -sf "${auth[@]}" -H "Reedtrail-Ticket: $ticket" -d '{"order":"menu 7"}' "http://$(callers c2)/svc/proof-desk/orders")
    echo "first $first, second $second"
    [ "$first" = "$second" ]
}
check "proof ordered, repeated through another entry VM, run once" order_twice

step "a run is opened; a trainer pulls samples and publishes weights"
check "plan and confirm the run" plan_and_confirm --patch "$folder/run.json"
start trainer "$bin/reedtrail-standin" trainer --listen 127.0.0.1:19050 --run run-1 --token token-trust-a --steps 20 --staleness-bound 2 --train-ms 1000 \
    --weight-store 127.0.0.1:19002 --gate "$(callers a1)" --gate "$(callers b1)" --gate "$(callers c1)"

load_arguments=(--customer trust-a=token-trust-a --customer trust-b=token-trust-b --customer printer-a=token-printer-a --note-rate 30 --summary-rate 6 --proof-rate 15)
for node in "${nodes[@]}"; do load_arguments+=(--gate "$(callers "$node")"); done
for port in 19010 19011 19012 19013 19014 19015 19020 19021 19022 19030 19031 19032; do load_arguments+=(--record "127.0.0.1:$port"); done
load() { # NAME OPTIONS...
    local name=$1
    shift
    "$bin/reedtrail-load" "${load_arguments[@]}" "$@" >"$folder/load-$name.out" 2>"$folder/load-$name.log"
}
load_verdict() { [ "$1" -eq 0 ] || { head -n -1 "$folder/load-$2.out"; return 1; }; }

step "callers of three customers through all gates, without faults (8 s)"
code=0
load quiet --duration 8 --seed 11 || code=$?
check "each answer whole, its own and once" load_verdict $code quiet

owner_of_run() { ctl --json --steward "$(operators "$1")" dump fleet | python3 -c 'import json,sys; print(next((o["node"] for o in json.load(sys.stdin)["fleet"]["owners"]), ""))'; }
fault() { curl -sf "http://127.0.0.1:$1/fault" -d "$2" >/dev/null; }
kill_and_restart() { # NAME SECONDS COMMAND...
    local name=$1 pause=$2
    shift 2
    kill -KILL "${pids[$name]}"
    wait "${pids[$name]}" 2>/dev/null || true
    sleep "$pause"
    start "$name" "$@"
}
pause_steward() { # NODE SECONDS
    kill -STOP "${pids[steward-$1]}"
    sleep "$2"
    kill -CONT "${pids[steward-$1]}"
}
step "the same for 40 s under faults"
report_arguments=()
for node in "${nodes[@]}"; do report_arguments+=(--steward "$(operators "$node")" --steward "127.0.0.1:$((first_port[$node] + 2))"); done
"$bin/reedtrailctl" --token operator-token "${report_arguments[@]}" report "$folder/report.svg" 40 >"$folder/report.out" 2>&1 &
report_pid=$!
load faults --duration 40 --seed 12 --may-cut &
load_pid=$!
owner=$(owner_of_run b1 || true)
step "  kill -9 of the run's owner: steward of ${owner:-none}"
[ -z "$owner" ] || kill_and_restart "steward-$owner" 4 "$bin/reedtrail-steward" --settings "$folder/node-$owner.json"
step "  silent connections to engine-b1; lost answers at proof-a1"
fault 19012 '{"kind":"silent"}'
fault 19030 '{"kind":"lost-answer","forMs":3000,"chance":0.3}'
sleep 2
step "  kill -9 of the spool of a1"
kill_and_restart spool-a1 2 "$bin/reedtrail-spool" --settings "$folder/node-a1.json"
owner=$(owner_of_run b1 || true)
step "  SIGSTOP of the run's owner for 8 s: steward of ${owner:-none}"
[ -z "$owner" ] || pause_steward "$owner" 8
step "  the store is down for 4 s, then loses answers for 3 s"
fault 19000 '{"kind":"store-down","forMs":4000}'
sleep 4
fault 19000 '{"kind":"store-answer-lost","forMs":3000,"chance":0.5,"path":"/v3/kv/txn"}'
sleep 3
step "  kill -9 of the gate of b2; a weight switch fails partway on engine-c1"
fault 19014 '{"kind":"swap-failed-partway","forMs":2000}'
kill_and_restart gate-b2 2 "$bin/reedtrail-gate" --settings "$folder/node-b2.json"
code=0
wait $load_pid || code=$?
check "report plotted" wait $report_pid
check "nothing ran twice, none falsely told \"not run\", none lost, doubled or crossed" load_verdict $code faults

step "a gate is stopped gracefully under load"
load drain --duration 6 --seed 13 &
load_pid=$!
sleep 2
kill -TERM "${pids[gate-a2]}"
gate_stopped() { ! kill -0 "${pids[gate-a2]}" 2>/dev/null; }
check "gate drained and ended" wait_for 20 gate_stopped
code=0
wait $load_pid || code=$?
check "no request was cut" load_verdict $code drain

step "the trainer's steps, the weights"
trainer_done() { [ -s "$folder/trainer.out" ]; }
check "trainer gets all its steps" wait_for 90 trainer_done
engines_have_new_weights() {
    local port
    for port in 19010 19011 19012 19013 19014 19015; do
        curl -sf "http://127.0.0.1:$port/load" | python3 -c 'import json,sys; v=json.load(sys.stdin)["versions"].get("run-1", 0); print(v); sys.exit(0 if v >= 20 else 1)' || return 1
    done
}
check "new weights reached all engines" wait_for 20 engines_have_new_weights

step "state of each process, explained"
for node in "${nodes[@]}"; do
    [ "$node" = a2 ] || check "dump of the gate of $node" curl -sf "http://127.0.0.1:$((first_port[$node] + 2))/dump"
    check "dump of the steward of $node" curl -sf "http://$(operators "$node")/dump"
done
check "dump of a spool" curl -sf "http://127.0.0.1:$((first_port[a1] + 6))/dump"
check "explain the change" ctl --steward "$(operators b1)" explain change 2
check "status, watched" ctl --steward "$(operators c1)" watch 2

step "what happened"
python3 scripts/demo/summary.py "$folder"
if grep -l "internal check failed" "$folder"/*.log >/dev/null 2>&1; then
    grep -h "internal check failed" "$folder"/*.log | sort | uniq -c
    failures=$((failures + 1))
fi
[ "$failures" -eq 0 ] && rm -rf "$folder" || echo "$failures failed; logs are in $folder"
exit $((failures > 0))
