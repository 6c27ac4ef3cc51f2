#include "daisyspool/interference/ColocationHistory.h"

#include <algorithm>

namespace daisyspool::interference {

namespace {

constexpr Millis Tick{100};
constexpr double FullShare = 255;

std::uint32_t ticks(TimePoint At) {
  return static_cast<std::uint32_t>(At.time_since_epoch() / Tick);
}

} // namespace

void ColocationHistory::enter(VmIndex Vm, TaskIndex Task, KindIndex Kind,
                              TimePoint Now, double Share) {
  if (Vm.index() >= Vms.size())
    Vms.resize(Vm.index() + 1);
  bool ContinuesPrevious = closeInterval(Vm, Task, Now);

  auto &Intervals = Vms[Vm.index()];
  prune(Intervals, ticks(Now));
  Intervals.push_back({Task, ticks(Now), Running, Kind,
                       static_cast<std::uint8_t>(Share * FullShare),
                       ContinuesPrevious});
}

void ColocationHistory::leave(VmIndex Vm, TaskIndex Task, TimePoint Now) {
  closeInterval(Vm, Task, Now);
}

/// Ends the open interval of \p Task and returns whether there was one.
bool ColocationHistory::closeInterval(VmIndex Vm, TaskIndex Task,
                                      TimePoint Now) {
  if (Vm.index() >= Vms.size())
    return false;

  for (Interval &Each : Vms[Vm.index()]) {
    if (Each.Task != Task || Each.To != Running)
      continue;
    Each.To = ticks(Now);
    return true;
  }
  return false;
}

std::vector<Neighbour> ColocationHistory::neighboursDuring(VmIndex Vm,
                                                           TimePoint From,
                                                           TimePoint To) const {
  std::vector<Neighbour> Result;
  if (Vm.index() >= Vms.size() || To <= From)
    return Result;

  std::uint32_t First = ticks(From);
  std::uint32_t Last = std::max(ticks(To), First + 1);
  for (const Interval &Each : Vms[Vm.index()]) {
    std::uint32_t Start = std::max(Each.From, First);
    std::uint32_t End = std::min(Each.To, Last);
    bool Current = Each.To == Running;
    if (End <= Start && !Current)
      continue;
    double Overlap = End <= Start ? 0
                                  : static_cast<double>(End - Start) /
                                        static_cast<double>(Last - First);
    double Presence = Overlap * Each.Share / FullShare;
    // Handles are reused: only an interval that continues the previous one
    // belongs to the same task as the newest entry of the handle.
    auto Known =
        std::find_if(Result.rbegin(), Result.rend(),
                     [&](const Neighbour &N) { return N.Task == Each.Task; });
    if (Known == Result.rend() || !Each.ContinuesPrevious) {
      Result.push_back({Each.Task, Each.Kind, Presence, Current});
      continue;
    }
    Known->Presence += Presence;
    Known->Current = Known->Current || Current;
  }

  return Result;
}

void ColocationHistory::prune(std::vector<Interval> &Intervals,
                              std::uint32_t Now) const {
  auto Keep = static_cast<std::uint32_t>(Retention / Tick);
  std::erase_if(Intervals, [&](const Interval &Each) {
    return Each.To != Running && Each.To + Keep < Now;
  });
}

std::size_t ColocationHistory::bytes() const {
  std::size_t Sum = Vms.capacity() * sizeof(std::vector<Interval>);
  for (const auto &Intervals : Vms)
    Sum += Intervals.capacity() * sizeof(Interval);

  return Sum;
}

} // namespace daisyspool::interference
