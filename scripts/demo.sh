#!/usr/bin/env bash
# Runs each deployment of docs/design.md on loopback and replays its trace:
# scripts/demo.sh BUILD [DEPLOYMENT...]. During the trace one worker's agent
# and target and one entry are killed. Prints one line for each outcome, exits
# with 1 if one fails, and ends every process that it started.
set -uo pipefail
cd "$(dirname "$0")/.."
Build=$(realpath "${1:-build}")
shift || true
Deployments=("$@")
[ ${#Deployments[@]} -gt 0 ] || Deployments=(voicematch schulwegdienst)

# Offsets from the start of a replay: between the two floods, and after them.
WorkerKillSeconds=9.5
EntryKillSeconds=16
ReadySeconds=15
# Processes that do not end on SIGTERM within this time are killed.
StopTenths=20
Pids=()
NextPort=$((10000 + RANDOM % 15000))

stopAll() {
  local Pid Round
  [ ${#Pids[@]} -eq 0 ] && return
  kill -TERM "${Pids[@]}" 2>/dev/null
  for ((Round = 0; Round < StopTenths; Round++)); do
    kill -0 "${Pids[@]}" 2>/dev/null || break
    sleep 0.1
  done
  kill -KILL "${Pids[@]}" 2>/dev/null
  for Pid in "${Pids[@]}"; do
    wait "$Pid" 2>/dev/null
  done
  Pids=()
}
trap stopAll EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

# Sets Port to the next port that nothing listens on.
takePort() {
  while (exec 3<>"/dev/tcp/127.0.0.1/$NextPort") 2>/dev/null; do
    NextPort=$((NextPort + 1))
  done
  Port=$NextPort
  NextPort=$((NextPort + 1))
}

# start NAME PROGRAM ARGUMENT...: logs to $Logs/NAME.log and sets Pid.
start() {
  local Name=$1
  shift
  "$@" > "$Logs/$Name.log" 2>&1 &
  Pid=$!
  Pids+=("$Pid")
}

# killNow PID: sends SIGKILL to the process and removes it from Pids.
killNow() {
  local Each Remaining=()
  kill -KILL "$1" 2>/dev/null
  wait "$1" 2>/dev/null
  for Each in "${Pids[@]}"; do
    [ "$Each" = "$1" ] || Remaining+=("$Each")
  done
  Pids=("${Remaining[@]}")
}

# get PORT PATH: prints the body of a response with status 200.
get() {
  local Status
  exec 3<>"/dev/tcp/127.0.0.1/$1" || return 1
  printf 'GET %s HTTP/1.1\r\nHost: demo\r\nConnection: close\r\n\r\n' "$2" >&3
  read -r -t 2 _ Status _ <&3
  [ "$Status" = 200 ] && timeout 2 sed '1,/^\r$/d' <&3
  local Result=$?
  exec 3>&-
  return $Result
}

# waitFor COMPONENT COMMAND...: repeats the command until it succeeds, or fails
# after ReadyBy.
waitFor() {
  local Component=$1
  shift
  while ! "$@" > /dev/null 2>&1; do
    if ((SECONDS > ReadyBy)); then
      echo "demo: $Deployment: not ready: $Component" >&2
      return 1
    fi
    sleep 0.05
  done
}

# hasLinks LOG: succeeds if the log of an entry shows a link to every agent.
hasLinks() {
  [ "$(grep -o 'event=link_up .*' "$1" | grep -o 'target=[^ ]*' | sort -u | wc -l)" \
    -eq "${#AgentPids[@]}" ]
}

startEntry() {
  local Name=$1 Domain=$2 Callers Operators Peers Gossip
  takePort; Callers=$Port
  takePort; Operators=$Port
  takePort; Peers=$Port
  takePort; Gossip=$Port
  cat > "$Logs/$Name.ini" << INI
[entry]
name = $Name
failure_domain = $Domain
callers = 127.0.0.1:$Callers
operators = 127.0.0.1:$Operators
peers = 127.0.0.1:$Peers
gossip = 127.0.0.1:$Gossip
[platform]
table = 127.0.0.1:$Platform
objects = 127.0.0.1:$Platform
[jobs]
shard_lease = 3s
task_lease = 2s
[requests]
drain_bound = 1s
INI
  start "$Name" "$Build/daisyspool" entry --settings="$Logs/$Name.ini"
  EntryPids+=("$Pid")
  EntryPorts+=("$Callers")
}

# startAgent VM DOMAIN RACK MILLICORES MEMORY_MIB: the agent and its target.
startAgent() {
  local Vm=$1 Links Gossip Metrics
  takePort; TargetPorts+=("$Port")
  start "target-$Vm" "$Build/target_standin" "127.0.0.1:$Port" 8
  TargetPids+=("$Pid")
  local Target=$Port
  takePort; Links=$Port
  takePort; Gossip=$Port
  takePort; Metrics=$Port
  cat > "$Logs/agent-$Vm.ini" << INI
[agent]
name = agent-$Vm
vm = $Vm
rack = $3
failure_domain = $2
balancer = 127.0.0.1:$Balancer
links = 127.0.0.1:$Links
gossip = 127.0.0.1:$Gossip
metrics = 127.0.0.1:$Metrics
drain_bound = 1s
[target]
service = $Service
address = 127.0.0.1:$Target
slots = 8
connections = 64
[worker]
address = 127.0.0.1:$((WorkerBase + ${#AgentPids[@]}))
millicores = $4
memory_mib = $5
[jobs]
task_lease = 2s
INI
  start "agent-$Vm" "$Build/daisyspool" agent --settings="$Logs/agent-$Vm.ini"
  AgentPids+=("$Pid")
  MetricsPorts+=("$Metrics")
}

# takeWorkerPorts COUNT: reserves consecutive ports from WorkerBase, because
# worker_standin listens on one port for each worker.
takeWorkerPorts() {
  local Index
  takePort
  WorkerBase=$Port
  for ((Index = 1; Index < $1; Index++)); do
    takePort
    if [ "$Port" -ne $((WorkerBase + Index)) ]; then
      WorkerBase=$Port
      Index=0
    fi
  done
}

startDeployment() {
  local Domains Vms Cores MemoryMib
  EntryPids=() EntryPorts=() AgentPids=() TargetPids=() TargetPorts=() MetricsPorts=()
  Service=$(sed -n 's/^\[service \(.*\)\]$/\1/p' "deploy/$Deployment/inventory.ini")
  mapfile -t Vms < <(awk -F, 'NR > 1 {
    printf "%s %s %s %d %d\n", $2, $4, $5, $6 * 1000, $7 * 1024 }' "deploy/$Deployment/vms.csv")
  mapfile -t Domains < <(awk -F, 'NR > 1 { print $4 }' "deploy/$Deployment/vms.csv" | uniq)
  read -r _ _ _ Cores MemoryMib <<< "${Vms[0]}"

  takePort; Platform=$Port
  start platform "$Build/platform_standin" "--listen=127.0.0.1:$Platform"
  takeWorkerPorts ${#Vms[@]}
  start workers "$Build/worker_standin" "--listen=127.0.0.1:$WorkerBase" \
    "--workers=${#Vms[@]}" "--objects=127.0.0.1:$Platform" \
    "--milli_cores=$Cores" "--mebi_bytes=$MemoryMib"
  waitFor platform grep -q ^listening= "$Logs/platform.log" || return 1
  startEntry entry-1 "${Domains[0]}"
  startEntry entry-2 "${Domains[1]}"
  takePort; Balancer=$Port
  start balancer "$Build/balancer_standin" "--listen=127.0.0.1:$Balancer" \
    "--backends=127.0.0.1:${EntryPorts[0]},127.0.0.1:${EntryPorts[1]}"
  waitFor balancer grep -q ^listening= "$Logs/balancer.log" || return 1
  for Vm in "${Vms[@]}"; do
    # Unquoted, so that the line is split into its fields.
    # shellcheck disable=SC2086
    startAgent $Vm
  done
}

# Sends urgent and standard requests, to see that shards have owners. Succeeds
# if all are answered on time.
warmUp() {
  local Attempt=$((++WarmUps))
  cat > "$Logs/warm-up.jsonl" << JSON
{"at_ms":0,"kind":"request","id":"warm-urgent-$Attempt","group":"warm","service":"$Service","path":"/work?ms=20","class":"urgent","team":"warm-up","timeout_ms":1000,"count":60,"every_us":10000}
{"at_ms":0,"kind":"request","id":"warm-once-$Attempt","group":"warm","service":"$Service","path":"/work?ms=20","class":"standard","team":"warm-up","timeout_ms":1000,"count":60,"every_us":10000,"idempotent":false}
JSON
  cat > "$Logs/warm-up-outcomes.jsonl" << JSON
{"name":"ready","deployment":"$Deployment","group":"warm","measure":"on_time_share","at_least":1}
JSON
  "$Build/daisyspool" replay --trace="$Logs/warm-up.jsonl" \
    --outcomes="$Logs/warm-up-outcomes.jsonl" --entry="127.0.0.1:$Balancer" \
    >> "$Logs/warm-up.log" 2>&1
}

waitUntilReady() {
  local Index
  for Index in 0 1; do
    waitFor "entry-$((Index + 1))" get "${EntryPorts[$Index]}" /healthz || return 1
  done
  for Index in "${!MetricsPorts[@]}"; do
    waitFor "agent $Index" get "${MetricsPorts[$Index]}" /metrics || return 1
  done
  for Index in 1 2; do
    waitFor "links of entry-$Index" hasLinks "$Logs/entry-$Index.log" || return 1
  done
  waitFor "answers on time" warmUp
}

# Sleeps in the background, so that a signal ends this script at once.
pause() {
  sleep "$1" &
  Pids+=($!)
  wait $!
}

# Kills the agent and the target of the last worker. The target's executions are
# read after the agent is dead, so that no request reaches the target later.
killWorker() {
  local Last=$((${#AgentPids[@]} - 1))
  killNow "${AgentPids[$Last]}"
  get "${TargetPorts[$Last]}" /executions > "$Logs/killed-executions.json"
  killNow "${TargetPids[$Last]}"
  unset "TargetPorts[$Last]"
}

runDeployment() {
  local Started=$SECONDS Replay Status Addresses
  Logs="$Build/demo/$Deployment"
  rm -rf "$Logs"
  mkdir -p "$Logs"
  WarmUps=0
  ReadyBy=$((SECONDS + ReadySeconds))
  startDeployment && waitUntilReady || return 1
  echo "deployment=$Deployment ready_s=$((SECONDS - Started))"

  # The last worker is the one that is killed; its report is in a file.
  Addresses=$(printf '127.0.0.1:%s,' "${TargetPorts[@]:0:${#TargetPorts[@]}-1}")
  "$Build/daisyspool" replay --trace="traces/$Deployment.jsonl" \
    --outcomes="traces/$Deployment-outcomes.jsonl" \
    --entry="127.0.0.1:$Balancer" --executions="${Addresses%,}" \
    --saved_executions="$Logs/killed-executions.json" \
    > "$Logs/replay.log" 2> "$Logs/replay-problems.log" &
  Replay=$!
  Pids+=("$Replay")
  pause $WorkerKillSeconds
  killWorker
  pause "$(awk "BEGIN { print $EntryKillSeconds - $WorkerKillSeconds }")"
  killNow "${EntryPids[0]}"
  wait "$Replay"
  Status=$?
  cat "$Logs/replay.log"
  sed 's/^/  /' "$Logs/replay-problems.log" >&2
  stopAll
  echo "deployment=$Deployment seconds=$((SECONDS - Started)) logs=$Logs"
  return $Status
}

Failed=0
for Deployment in "${Deployments[@]}"; do
  runDeployment || Failed=1
  stopAll
done
exit $Failed
