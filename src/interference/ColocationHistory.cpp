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
  bool Continues = close(Vm, Task, Now);

  auto &Stays = Vms[Vm.index()];
  prune(Stays, ticks(Now));
  Stays.push_back({Task, ticks(Now), Running, Kind,
                   static_cast<std::uint8_t>(Share * FullShare), Continues});
}

void ColocationHistory::leave(VmIndex Vm, TaskIndex Task, TimePoint Now) {
  close(Vm, Task, Now);
}

/// Ends the open stay of \p Task and returns whether there was one.
bool ColocationHistory::close(VmIndex Vm, TaskIndex Task, TimePoint Now) {
  if (Vm.index() >= Vms.size())
    return false;

  for (Stay &Each : Vms[Vm.index()]) {
    if (Each.Task != Task || Each.To != Running)
      continue;
    Each.To = ticks(Now);
    return true;
  }
  return false;
}

std::vector<Neighbour> ColocationHistory::during(VmIndex Vm, TimePoint From,
                                                 TimePoint To) const {
  std::vector<Neighbour> Found;
  if (Vm.index() >= Vms.size() || To <= From)
    return Found;

  std::uint32_t First = ticks(From);
  std::uint32_t Last = std::max(ticks(To), First + 1);
  for (const Stay &Each : Vms[Vm.index()]) {
    std::uint32_t Start = std::max(Each.From, First);
    std::uint32_t End = std::min(Each.To, Last);
    bool Current = Each.To == Running;
    if (End <= Start && !Current)
      continue;
    double Part = End <= Start ? 0
                               : static_cast<double>(End - Start) /
                                     static_cast<double>(Last - First);
    double Presence = Part * Each.Share / FullShare;
    // The newest entry of the handle is the same task if the stay continues it.
    auto Known =
        std::find_if(Found.rbegin(), Found.rend(),
                     [&](const Neighbour &N) { return N.Task == Each.Task; });
    if (Known == Found.rend() || !Each.Continues) {
      Found.push_back({Each.Task, Each.Kind, Presence, Current});
      continue;
    }
    Known->Presence += Presence;
    Known->Current = Known->Current || Current;
  }

  return Found;
}

void ColocationHistory::prune(std::vector<Stay> &Stays,
                              std::uint32_t Now) const {
  auto Keep = static_cast<std::uint32_t>(Retention / Tick);
  std::erase_if(Stays, [&](const Stay &Each) {
    return Each.To != Running && Each.To + Keep < Now;
  });
}

std::size_t ColocationHistory::bytes() const {
  std::size_t Sum = Vms.capacity() * sizeof(std::vector<Stay>);
  for (const auto &Stays : Vms)
    Sum += Stays.capacity() * sizeof(Stay);

  return Sum;
}

} // namespace daisyspool::interference
