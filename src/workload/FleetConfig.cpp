#include "daisyspool/workload/FleetConfig.h"

namespace daisyspool::workload {

const QueueRoute *FleetConfig::route(std::string_view Host,
                                     std::string_view Path) const {
  const QueueRoute *Longest = nullptr;
  for (const QueueRoute &Each : Routes) {
    bool Matches = Each.Host == Host && Path.starts_with(Each.PathPrefix);
    if (Matches &&
        (!Longest || Each.PathPrefix.size() > Longest->PathPrefix.size()))
      Longest = &Each;
  }

  return Longest;
}

const QueueRoute *FleetConfig::queue(const QueueId &Name) const {
  for (const QueueRoute &Each : Routes)
    if (Each.Policy.Name == Name)
      return &Each;

  return nullptr;
}

} // namespace daisyspool::workload
