#!/usr/bin/env bash
# Measures the lines of docs/CAPACITY.md: starts processes, measures them with
# `agatepick bench slopes` and kills them by pid.
# usage: scripts/measure_slopes.sh OUT.json
set -euo pipefail
cd "$(dirname "$0")/.."
out=$1
agatepick=.venv/bin/agatepick
work=$(mktemp -d)
pids=()

stop_all() {
    for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
    pids=()
}
trap 'stop_all; rm -rf "$work"' EXIT

# measure_point ENTRIES AGENTS MODE: starts and measures one installation.
measure_point() {
    local dir="$work/$3-$1-$2" role command config
    "$agatepick" bench slopes --write="$dir" --entries="$1" --agents="$2"
    : >"$dir/pids"
    while IFS=$'\t' read -r role command config; do
        # The command may consist of two words.
        # shellcheck disable=SC2086
        "$agatepick" $command --config="$config" \
            >"$config.log" 2>&1 </dev/null &
        pids+=($!)
        printf '%s\t%s\n' "$role" "$!" >>"$dir/pids"
    done <"$dir/programs"
    "$agatepick" bench slopes --read="$dir" --mode="$3" >>"$work/points"
    stop_all
}

for agents in 4 8 16 32; do measure_point 2 "$agents" idle-by-agents; done
for entries in 2 3 4 6; do measure_point "$entries" 4 idle-by-entries; done
measure_point 1 10 loaded
measure_point 1 10 remembered
"$agatepick" bench slopes --points="$work/points" --json >"$out"
