#include "daisyspool/scheduling/Evacuation.h"

#include <algorithm>

namespace daisyspool::scheduling {

namespace {

/// How long after the leader has sent a start an agent may still pass it on:
/// the agent gives up after 1.5 s, the rest is for the way there.
constexpr Millis OrderTime{2000};

} // namespace

std::vector<Evacuation::Change>
Evacuation::replace(const EvacuatedDomains &Next, TimePoint Now) {
  std::vector<Change> Result;
  std::erase_if(Since, [&](const auto &Each) {
    if (Next.count(Each.first) != 0)
      return false;
    Result.push_back(
        {Each.first, std::chrono::duration_cast<Millis>(Now - Each.second)});
    return true;
  });
  for (const FailureDomainId &Domain : Next)
    if (Since.try_emplace(Domain, Now).second)
      Result.push_back({Domain, std::nullopt});
  return Result;
}

EvacuatedDomains Evacuation::domains() const {
  EvacuatedDomains Result;
  for (const auto &[Domain, Time] : Since)
    Result.insert(Domain);
  return Result;
}

std::optional<Millis> Evacuation::maxAge() const {
  if (Bound == Millis(0))
    return std::nullopt;
  return std::max(Bound - OrderTime, Bound / 2);
}

bool Evacuation::areStartsHeld(Millis Age) const {
  auto MaxAge = maxAge();
  return MaxAge && Age > *MaxAge;
}

bool isEvacuated(const VmState &Vm, const EvacuatedDomains &Domains) {
  if (Domains.empty())
    return false;
  return !Vm.FailureDomain || Domains.count(*Vm.FailureDomain) != 0;
}

bool isLateStart(const VmState &Vm, const Assignment &Run) {
  if (Run.Started || Run.Stopping)
    return false;
  if (Run.NewestOrderSync == 0)
    return true;
  // An earlier leader or agent process may have started it. That shows only
  // once the agent has a listing of the worker.
  if (Vm.Replies == 0 || !Vm.Worker)
    return false;
  // A serving task that the worker has begun but not listed yet is not ended:
  // the agent gives up its order in less than the bound, if it has it.
  bool AgentHasOrder =
      Run.SentInSync != 0 || Run.OrderListedInReply == Vm.Replies;
  return !Run.LongRunning || !AgentHasOrder;
}

} // namespace daisyspool::scheduling
