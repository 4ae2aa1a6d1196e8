# Shell functions that run the programs on the loopback interface. To be sourced
# by a script that sets "run" to an empty folder for logs and state.

bin=${bin:-build/src}
pids=()

# start NAME PROGRAM ARGUMENTS...: starts a program in the background and
# appends its log to $run/NAME.log.
start() {
  local name=$1 program=$2
  shift 2
  "$bin/$program" "$@" 2>>"$run/$name.log" &
  pid=$!
  pids+=("$pid")
  printf '%s' "$pid" >"$run/$name.pid"
}

# start_control NAME ARGUMENTS...: starts the first member of a new cluster, or
# restarts it with its existing data folder.
start_control() {
  local name=$1
  shift
  [ -e "$run/$name.data/identity" ] || set -- --bootstrap "$@"
  start "$name" tanagerstall-controld --id "$name" \
    --data-folder "$run/$name.data" "$@"
}

# join_control NAME FIRST ARGUMENTS...: starts a further control member and adds
# it to the cluster of the member FIRST.
join_control() {
  local name=$1 first=$2
  shift 2
  start "$name" tanagerstall-controld --id "$name" --join \
    --data-folder "$run/$name.data" "$@"
  "$bin/tanagerctl" member add --control "$(address_of "$first" operators)" \
    --id "$name" --address "$(address_of "$name" members)" >/dev/null
}

# pid_of NAME: prints the process id of a started program.
pid_of() { cat "$run/$1.pid"; }

# address_of NAME FIELD: waits for a "listening" event in the log of a program
# and prints the given address of the latest one. Fails if the program has
# ended.
address_of() {
  until jq -r "select(.event == \"listening\") | .$2" "$run/$1.log" \
    2>/dev/null | tail -n 1 | grep .; do
    kill -0 "$(pid_of "$1")" 2>/dev/null || {
      echo "$1 has ended: $(tail -n 3 "$run/$1.log")" >&2
      return 1
    }
    sleep 0.05
  done
}

# wait_until COMMAND...: repeats a command until it succeeds, at most 600 times
# at intervals of 0.1 s.
wait_until() {
  local tries=0
  until "$@" >/dev/null 2>&1; do
    tries=$((tries + 1))
    [ "$tries" -lt 600 ] || { echo "gave up on: $*" >&2; return 1; }
    sleep 0.1
  done
}

# stop_all: sends SIGTERM to all programs, latest first, and waits for them.
# Fails if one of them failed.
stop_all() {
  local status=0 index
  for ((index = ${#pids[@]} - 1; index >= 0; --index)); do
    kill -TERM "${pids[$index]}" 2>/dev/null || true
  done
  for pid in "${pids[@]}"; do
    wait "$pid" || status=1
  done
  pids=()
  return $status
}

# kill_all: kills all programs, for the cleanup of a failed script.
kill_all() {
  local pid
  for pid in "${pids[@]}"; do
    kill -KILL "$pid" 2>/dev/null || true
  done
}
