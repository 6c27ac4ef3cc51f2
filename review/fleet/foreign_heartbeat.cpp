// A heartbeat of another writer, of a service that no configuration names,
// reaches the agent of a worker that runs tasks.
#include "Fleet.h"

#include <algorithm>

using namespace daisyspool::review;

namespace {

/// The worker that runs the most tasks.
Worker &busiest(Fleet &Deployment) {
  std::map<std::string, int> Count;
  for (const auto &[Task, Hosts] : Deployment.Shared.RunningOn)
    for (const std::string &Host : Hosts)
      ++Count[Host];
  auto Most =
      std::max_element(Deployment.Workers.begin(), Deployment.Workers.end(),
                       [&](const auto &A, const auto &B) {
                         return Count[A->name()] < Count[B->name()];
                       });
  return **Most;
}

} // namespace

int main() {
  constexpr std::int64_t WorkMs = 8000;
  constexpr std::int64_t HeartbeatAtMs = 2500;
  constexpr std::int64_t EndMs = 25000;
  Fleet Deployment({});
  json Job{{"spec", "profile"},
           {"steps",
            {{{"count", 10},
              {"cpu", 1500},
              {"mem_mb", 1000},
              {"estimated_ms", WorkMs}}}}};
  bool Started = Deployment.start([&] {
    for (std::uint64_t I = 1; I <= 3; ++I)
      Deployment.submit(jobId(I), Job, WorkMs);
    if (hasTrouble())
      Deployment.Time.after(HeartbeatAtMs, [&] {
        Worker &Target = busiest(Deployment);
        json Heartbeat = Target.heartbeat();
        Heartbeat["service"] = "listenroom";
        Heartbeat["address"] = "127.0.0.1:9";
        Heartbeat["born"] = unixMillis();
        Heartbeat["sequence"] = 1;
        Deployment.Log.line("another writer: heartbeat of i-other, service "
                            "listenroom, to the agent of " +
                            Target.name());
        Target.sendHeartbeat("i-other", Heartbeat, [&](int Status) {
          Deployment.Log.line("another writer: answer " +
                              std::to_string(Status));
        });
      });
    Deployment.Time.after(EndMs, [&] {
      Deployment.askStates([&] {
        int Completed = 0;
        for (const auto &[Id, Each] : Deployment.Shared.Jobs)
          Completed += Each.State == "completed" ? 1 : 0;
        if (Completed != 3)
          return Deployment.finish(2);
        Deployment.finish(Deployment.Log.Broken > 0 ? 1 : 0);
      });
    });
  });
  return Started ? Deployment.run() : 2;
}
