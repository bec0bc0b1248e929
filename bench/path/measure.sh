#!/usr/bin/env bash
# Starts the stand-in engine, an entry and an agent as processes of their own on
# loopback, runs the measurement and ends them again.
# STREAMS, TOKENS, ROUNDS and STEP set its size.
set -euo pipefail
cd "$(dirname "$0")/../.."
out=$(mktemp -d)
pids=()
finish() {
  for p in "${pids[@]}"; do kill "$p" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$out"
}
trap finish EXIT
go build -o "$out/" ./cmd/almondseam ./bench/path
export ALMONDSEAM_FLEET_KEY=bench-fleet-key-loopback
streams=${STREAMS:-500}
"$out/almondseam" engine --listen=127.0.0.1:19000 --max-seqs=4000 --blocks=200000 --step="${STEP:-10ms}" & pids+=($!)
"$out/almondseam" run --role=entry --instance=e1 --zone=bench-a --listen=127.0.0.1:19080 --link-listen=127.0.0.1:19081 \
  --config=bench/path/config.yaml --ops-listen=127.0.0.1:19082 --log-level=warn & entry=$!; pids+=($entry)
"$out/almondseam" run --role=agent --instance=g1 --zone=bench-a --seed=127.0.0.1:19081 --target=g1 \
  --target-address=127.0.0.1:19000 --model=standin --capacity=3200000 --engine-batch=4000 --queue=8000 --prefill=65536 --ops-listen=127.0.0.1:19083 --log-level=warn & agent=$!; pids+=($agent)
for _ in $(seq 100); do
  curl -sf -o /dev/null -H 'Authorization: Bearer sk-bench' -d '{"model":"standin","prompt":"x","x_output_tokens":1}' \
    http://127.0.0.1:19080/v1/completions && break
  sleep 0.1
done
if [ -n "${PROFILE:-}" ]; then # profiles of entry and agent go to the folder it names
  (sleep "${PROFILE_AT:-18}"; curl -s -o "$PROFILE/entry.pprof" "http://127.0.0.1:19082/debug/pprof/profile?seconds=8" &
   curl -s -o "$PROFILE/agent.pprof" "http://127.0.0.1:19083/debug/pprof/profile?seconds=8"; wait) &
fi
"$out/path" --direct=http://127.0.0.1:19000 --through=http://127.0.0.1:19080 --key=sk-bench --model=standin \
  --streams="$streams" --tokens="${TOKENS:-200}" --rounds="${ROUNDS:-3}" --entry-pid=$entry --agent-pid=$agent
