// One worker fails all that it starts, two members of a gang among it.
#include "Fleet.h"

using namespace daisyspool::review;

namespace {

constexpr std::int64_t WorkMs = 2000;
constexpr std::uint64_t Gangs = 3;
constexpr std::int64_t FailForMs = 6500;
constexpr std::int64_t EndMs = 30000;

class Case {
public:
  int run() {
    bool Started = Deployment.start([this] {
      Worker &Failing = *Deployment.Workers.front();
      if (hasTrouble()) {
        Deployment.Log.line(Failing.name() + " fails all that it starts");
        Failing.FailsAll = true;
        Deployment.Time.after(FailForMs, [this, &Failing] {
          Deployment.Log.line(Failing.name() + " is sound again");
          Failing.FailsAll = false;
        });
      }
      for (std::uint64_t I = 1; I <= Gangs; ++I)
        Deployment.submit(jobId(I),
                          {{"spec", "gang"},
                           {"steps",
                            {{{"count", 4},
                              {"cpu", 1500},
                              {"mem_mb", 1000},
                              {"estimated_ms", WorkMs},
                              {"gang", true}}}}},
                          WorkMs);
      Deployment.Time.after(EndMs, [this] { judge(); });
    });
    return Started ? Deployment.run() : 2;
  }

private:
  void judge() {
    Deployment.askStates([this] {
      for (const auto &[Id, Job] : Deployment.Shared.Jobs) {
        auto Runs = Deployment.Shared.FailedRuns[Id].size();
        if (Job.State == "failed" && Runs < 2)
          Deployment.Log.broken("LOST: " + Id + " is shown as failed after " +
                                std::to_string(Runs) +
                                " failed run of its gang, max_attempts is 2");
      }
      Deployment.finish(Deployment.Log.Broken > 0 ? 1 : 0);
    });
  }

  Fleet Deployment{{}};
};

} // namespace

int main() { return Case().run(); }
