#!/usr/bin/env bash
# Measures the processor time and memory of an idle entry and its agents at four
# numbers of agents, with real processes on loopback, and prints a slope for each
# figure. Ends every process that it starts.
set -uo pipefail
cd "$(dirname "$0")/.."
Build=${1:-build}
AgentCounts=(5 20 50 100)
SampleSeconds=8
Work=$(mktemp -d)
Pids=()
stop_all() {
  for Pid in "${Pids[@]}"; do kill -KILL "$Pid" 2>/dev/null; done
  wait 2>/dev/null
  Pids=()
}
cleanup() { stop_all; rm -rf "$Work"; }
trap cleanup EXIT INT TERM
Hz=$(getconf CLK_TCK)
ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
resident() { awk '/^VmRSS/ {print $2}' "/proc/$1/status"; }

write_settings() {
  cat > "$Work/entry.ini" <<INI
[entry]
name = capacity-entry
failure_domain = bench
callers = 127.0.0.1:28080
operators = 127.0.0.1:28081
peers = 127.0.0.1:28082
gossip = 127.0.0.1:28083
[platform]
table = 127.0.0.1:28000
objects = 127.0.0.1:28000
INI
  for Number in $(seq "$1"); do
    cat > "$Work/agent-$Number.ini" <<INI
[agent]
name = agent-$Number
vm = vm-$Number
rack = rack-$((Number / 3))
failure_domain = bench
balancer = 127.0.0.1:28080
links = 127.1.0.$Number:28101
gossip = 127.1.0.$Number:28102
metrics = 127.1.0.$Number:28103
[target]
service = castmatch
address = 127.0.0.1:28104
[worker]
address = 127.0.0.1:$((28200 + Number))
INI
  done
}

measure() {
  local Count=$1
  write_settings "$Count"
  "$Build/platform_standin" --listen=127.0.0.1:28000 > /dev/null 2>&1 & Pids+=($!)
  "$Build/target_standin" 127.0.0.1:28104 8 > /dev/null & Pids+=($!)
  "$Build/worker_standin" --listen=127.0.0.1:28201 --workers="$Count" > /dev/null 2>&1 & Pids+=($!)
  "$Build/daisyspool" entry --settings "$Work/entry.ini" 2> "$Work/entry.log" & Entry=$!; Pids+=("$Entry")
  local Agents=()
  for Number in $(seq "$Count"); do
    "$Build/daisyspool" agent --settings "$Work/agent-$Number.ini" 2> /dev/null & Agents+=($!); Pids+=($!)
  done
  for _ in $(seq 200); do
    [ "$(curl -s -m 2 http://127.0.0.1:28081/v1/status | grep -o '"up":true' | wc -l)" -ge "$Count" ] && break
    sleep 0.1
  done
  sleep 3

  local EntryStart AgentStart=0 AgentEnd=0 AgentMemory=0
  EntryStart=$(ticks "$Entry")
  for Pid in "${Agents[@]}"; do AgentStart=$((AgentStart + $(ticks "$Pid"))); done
  sleep "$SampleSeconds"
  for Pid in "${Agents[@]}"; do
    AgentEnd=$((AgentEnd + $(ticks "$Pid")))
    AgentMemory=$((AgentMemory + $(resident "$Pid")))
  done
  local EntryCpu AgentCpu
  EntryCpu=$(awk "BEGIN {print ($(ticks "$Entry") - $EntryStart) / $Hz / $SampleSeconds * 100}")
  AgentCpu=$(awk "BEGIN {print ($AgentEnd - $AgentStart) / $Hz / $SampleSeconds * 100 / $Count}")
  echo "bench=processes variant=agents_$Count metric=entry_core_percent value=$EntryCpu"
  echo "bench=processes variant=agents_$Count metric=entry_resident_kib value=$(resident "$Entry")"
  echo "bench=processes variant=agents_$Count metric=agent_core_percent value=$AgentCpu"
  echo "bench=processes variant=agents_$Count metric=agent_resident_kib value=$((AgentMemory / Count))"
  echo "$Count $EntryCpu $(resident "$Entry") $AgentCpu $((AgentMemory / Count))" >> "$Work/points"
  stop_all
}

# Least-squares slope of column $2 over the number of agents.
slope() {
  awk -v Column="$2" -v Name="$1" -v Unit="$3" '
    { n++; x = $1; y = $Column; sx += x; sy += y; sxx += x * x; sxy += x * y; syy += y * y }
    END {
      d = n * sxx - sx * sx; b = (n * sxy - sx * sy) / d
      v = n * syy - sy * sy
      r = v == 0 ? 1 : (n * sxy - sx * sy) ^ 2 / (d * v)
      printf "slope=%s unit=%s per=agent value=%.6g r2=%.4f\n", Name, Unit, b, r
    }' "$Work/points"
}

for AgentCount in "${AgentCounts[@]}"; do measure "$AgentCount"; done
slope entry_processor_time 2 core_percent
slope entry_memory 3 kib
slope agent_processor_time 4 core_percent
slope agent_memory 5 kib
