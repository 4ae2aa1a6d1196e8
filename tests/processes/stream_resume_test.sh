#!/usr/bin/env bash
# A completion whose upstream fails in any way is answered completely: its text
# equals that of an undisturbed run, whether it is streamed or not.
set -euo pipefail
run=$(mktemp -d)
source tools/scripts/lib.sh
trap 'kill_all; rm -rf "$run"' EXIT
token='Authorization: Bearer booth-token'

start_control control
start entry tanagerstall-entryd --id entry --control "$(address_of control rpc)"
entry=$(address_of entry callers)
for model in model-1 model-2 model-3; do
  start $model tanagerstall-standin --service assistant --kind model \
    --entries "$entry"
done
"$bin/tanagerctl" apply --control "$(address_of control operators)" \
  -f examples/records >/dev/null

# complete STREAM: prints the text of one completion of 40 tokens.
complete() {
  local body answer
  answer=$(mktemp -p "$run")
  body=$(jq -nc --argjson stream "$1" '{model: "assistant", max_tokens: 40,
    stream: $stream, messages: [{role: "user", content: "hello"}]}')
  curl -sfN -H "$token" -d "$body" "http://$entry/v1/chat/completions" \
    >"$answer" || return 1
  if [ "$1" = true ]; then
    grep -q '^data: \[DONE\]' "$answer"
    sed -n 's/^data: {/{/p' "$answer" |
      jq -rj '.choices[]?.delta.content // empty'
  else
    jq -rj '.choices[0].message.content' "$answer"
  fi
}

# Refills the retry budget, which is a fraction of the number of requests.
fill_retry_budget() {
  local request
  for ((request = 0; request < 20; ++request)); do
    curl -sf -H "$token" -d '{"model":"assistant","max_tokens":1}' \
      "http://$entry/v1/chat/completions" >/dev/null
  done
}

set_faults() {
  curl -sf -d "$2" "http://$(address_of "$1" address)/faults" >/dev/null
}

all_announced() {
  [ "$(curl -sf "http://$entry/v1/entries" | jq '.entries | length')" = 1 ] &&
    complete false
}
wait_until all_announced
expected=$(complete false)
[ -n "$expected" ]
checked=0

for break in reset_before_execution reset_after_execution reset_mid_answer \
  silent_mid_answer; do
  for stream in true false; do
    for model in model-1 model-2 model-3; do
      set_faults $model "{\"break\":\"$break\",\"break_count\":1,
        \"break_after_tokens\":7}"
    done
    for attempt in 1 2; do
      actual=$(complete $stream) || { echo "$break: no answer"; exit 1; }
      [ "$actual" = "$expected" ] || {
        printf '%s, stream %s:\n%s\n%s\n' "$break" "$stream" "$expected" "$actual"
        exit 1
      }
      checked=$((checked + 1))
    done
    for model in model-1 model-2 model-3; do
      set_faults $model '{"break":"none"}'
    done
    fill_retry_budget
  done
done

# Kills two upstreams in the middle of their streams. The third one refuses
# requests until all streams have started, so that they run at the first two.
for model in model-1 model-2; do set_faults $model '{"token_ms":30}'; done
set_faults model-3 '{"refuses":true}'
for stream in 1 2 3; do
  complete true >"$run/text-$stream" &
  streams+=("$!")
done
sleep 0.4
set_faults model-3 '{"refuses":false}'
kill -KILL "$(pid_of model-1)" "$(pid_of model-2)"
for stream in "${streams[@]}"; do wait "$stream"; done
for stream in 1 2 3; do
  [ "$(cat "$run/text-$stream")" = "$expected" ] || {
    echo "killed: stream $stream: $(cat "$run/text-$stream")"
    exit 1
  }
  checked=$((checked + 1))
done
grep -q '"decision":"resume"' "$run/entry.log"
curl -sf "http://$entry/metrics" >"$run/metrics"
grep -E 'resumes|recomputed' "$run/metrics"
echo "$checked completions complete"
