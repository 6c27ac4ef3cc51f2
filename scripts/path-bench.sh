#!/usr/bin/env bash
# Measures the latency that entry and agent add to a request, compared with the
# same client connected directly to the same target, and the processor time and
# memory of the processes. Ends every process that it starts.
set -uo pipefail
cd "$(dirname "$0")/.."
Build=${1:-build}
Requests=${2:-20000}
Work=$(mktemp -d)
Pids=()
cleanup() {
  for Pid in "${Pids[@]}"; do kill "$Pid" 2>/dev/null; done
  wait 2>/dev/null
  rm -rf "$Work"
}
trap cleanup EXIT INT TERM

cat > "$Work/entry.ini" <<INI
[entry]
name = bench-entry
failure_domain = bench
callers = 127.0.0.1:27080
operators = 127.0.0.1:27081
peers = 127.0.0.1:27082
gossip = 127.0.0.1:27083
[platform]
table = 127.0.0.1:27000
objects = 127.0.0.1:27000
INI
cat > "$Work/agent.ini" <<INI
[agent]
name = bench-agent
vm = bench-vm
rack = bench-rack
failure_domain = bench
balancer = 127.0.0.1:27080
links = 127.0.0.1:27101
gossip = 127.0.0.1:27102
metrics = 127.0.0.1:27103
[target]
service = castmatch
address = 127.0.0.1:27104
slots = 64
connections = 256
[worker]
address = 127.0.0.1:27105
INI
"$Build/platform_standin" --listen=127.0.0.1:27000 > "$Work/platform.log" 2>&1 & Pids+=($!)
"$Build/worker_standin" --listen=127.0.0.1:27105 > "$Work/worker.log" 2>&1 & Pids+=($!)
"$Build/target_standin" 127.0.0.1:27104 64 > "$Work/target.log" & Pids+=($!)
"$Build/daisyspool" entry --settings "$Work/entry.ini" 2> "$Work/entry.log" & Entry=$!; Pids+=($Entry)
"$Build/daisyspool" agent --settings "$Work/agent.ini" 2> "$Work/agent.log" & Agent=$!; Pids+=($Agent)
for _ in $(seq 100); do
  grep -q link_up "$Work/entry.log" && break
  sleep 0.1
done

# Processor time of a process in clock ticks.
ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
resident() { awk '/^VmRSS/ {print $2}' "/proc/$1/status"; }
Hz=$(getconf CLK_TCK)

IdleAgentTicks=$(ticks "$Agent")
IdleEntryTicks=$(ticks "$Entry")
sleep 10
echo "bench=path variant=idle metric=agent_core_percent value=$(awk "BEGIN {print ($(ticks "$Agent") - $IdleAgentTicks) / $Hz / 10 * 100}")"
echo "bench=path variant=idle metric=entry_core_percent value=$(awk "BEGIN {print ($(ticks "$Entry") - $IdleEntryTicks) / $Hz / 10 * 100}")"
echo "bench=path variant=idle metric=agent_resident_kib value=$(resident "$Agent")"
echo "bench=path variant=idle metric=entry_resident_kib value=$(resident "$Entry")"

for Connections in 1 16; do
  "$Build/path_client" "direct_$Connections" 127.0.0.1:27104 "/work?ms=0" "$Connections" "$Requests"
  BusyAgentTicks=$(ticks "$Agent")
  BusyEntryTicks=$(ticks "$Entry")
  "$Build/path_client" "through_$Connections" 127.0.0.1:27080 "/v1/services/castmatch/work?ms=0" "$Connections" "$Requests"
  echo "bench=path variant=through_$Connections metric=entry_core_us_per_request value=$(awk "BEGIN {print ($(ticks "$Entry") - $BusyEntryTicks) / $Hz * 1e6 / $Requests}")"
  echo "bench=path variant=through_$Connections metric=agent_core_us_per_request value=$(awk "BEGIN {print ($(ticks "$Agent") - $BusyAgentTicks) / $Hz * 1e6 / $Requests}")"
done
echo "bench=path variant=busy metric=agent_resident_kib value=$(resident "$Agent")"
echo "bench=path variant=busy metric=entry_resident_kib value=$(resident "$Entry")"
