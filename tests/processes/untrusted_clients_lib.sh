# Shell functions that play untrusted clients against one port of a platform
# process. To be sourced after platform_lib.sh.

# The crowd and the bounds were fixed on the code before it had any of these
# limits. Each row counts against the memory and connections of the settings.
memory_mb=64
max_connections=100
# Listeners, event loops, links to other processes and to the replica.
other_descriptors=64
clients=60
head_clients=300
body_bytes=1048576
rows=(trailers large-chunks one-byte-chunks stopping-short declared-over
  undeclared-over endless-heads extensions pipelined unread-response)
limit_lines=("limits.memoryMb=$memory_mb" "limits.maxConnections=$max_connections")

limits_document() {
  document "$1" | sed "s/^{/{\"limits\":{\"maxHeaderBytes\":4096,\"maxBodyBytes\":$body_bytes,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":3000},/"
}

# limit_settings NAME: adds the limits to the settings of a process.
limit_settings() { printf '%s\n' "${limit_lines[@]}" >>"$run/$1.conf"; }

memory_of() { awk -v field="$2:" '$1 == field { print $2 }' "/proc/$1/status"; }
descriptors_of() { find "/proc/$1/fd" -mindepth 1 | wc -l; }

# check_row ROW PID HOST PORT PROBE...: runs a crowd; fails if the process ends,
# uses more memory or descriptors than its settings allow, or doesn't answer the
# probe once the crowd is gone.
check_row() {
  local row=$1 process=$2 host=$3 port=$4 count=$clients result=ok
  shift 4
  [ "$row" = endless-heads ] && count=$head_clients
  rm -f "$run/crowd.in" "$run/crowd.out"
  mkfifo "$run/crowd.in"
  build/tests/tanagerstall_untrusted_clients "$row" "$host" "$port" "$count" \
    "$body_bytes" <"$run/crowd.in" >"$run/crowd.out" &
  local crowd=$!
  pids+=("$crowd")
  exec 4>"$run/crowd.in"
  local most=0 now
  until [ -s "$run/crowd.out" ]; do
    if ! kill -0 "$crowd" 2>/dev/null || ! kill -0 "$process" 2>/dev/null; then
      break
    fi
    now=$(descriptors_of "$process")
    [ "$now" -le "$most" ] || most=$now
    sleep 0.1
  done
  local peak
  peak=$(memory_of "$process" VmHWM || echo 0)
  exec 4>&-
  wait "$crowd" || result="the crowd failed"
  kill -0 "$process" 2>/dev/null || result="the process ended"
  [ "${peak:-0}" -le $((memory_mb * 1024)) ] || result="over the memory"
  [ "$most" -le $((max_connections + other_descriptors)) ] ||
    result="$result; over the descriptors"
  wait_until "$@" || result="$result; no answer afterwards"
  echo "$(cat "$run/crowd.out"); peak ${peak:-0} kB, $most descriptors: $result"
  [ "$result" = ok ] || failed=$((failed + 1))
}

# answers: whether a request through entry 1 is answered by the replica.
answers() { [ "$(send 1 probe)" = 200 ]; }

# start_limited_fleet: starts the fleet with the limits, and a replica.
start_limited_fleet() {
  use_free_addresses
  start_fleet
  announce_forever 1 &
  pids+=($!)
  is_declared() { [ "$(put "${controls[0]}" "$(limits_document 5)")" = 200 ]; }
  wait_until is_declared
  # An entry passes on only answers with this header.
  set_faults '{"answer_header":"Tanagerstall-Response-Seal: 1"}'
  wait_until answers
  failed=0
}

# restart NAME PROGRAM: starts a process again, with a peak of its own.
restart() {
  kill -KILL "$(pid_of "$1")" 2>/dev/null || true
  wait "$(pid_of "$1")" 2>/dev/null || true
  start_platform "$1" "$2"
}

end_rows() {
  [ "$failed" = 0 ] || { echo "$failed rows failed"; exit 1; }
}
