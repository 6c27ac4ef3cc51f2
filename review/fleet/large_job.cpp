// One accepted job of 5000 small tasks, and ordinary jobs before and after it.
#include "Fleet.h"

using namespace daisyspool::review;

namespace {

constexpr std::uint64_t LargeJob = 1;
constexpr std::int64_t WorkMs = 1000;
constexpr std::int64_t TrafficMs = 12000;
constexpr std::int64_t SubmitEveryMs = 400;
constexpr std::int64_t LargeAtMs = 4000;
/// finish_s of the pages.
constexpr std::int64_t FinishMs = 14000;
/// How long a job may have nothing running while there is room.
constexpr std::int64_t IdleLimitMs = 3000;
constexpr std::int64_t SampleMs = 50;

json body(int Count, int Cpu, int MemoryMb) {
  return {{"spec", "profile"},
          {"steps",
           {{{"count", Count},
             {"cpu", Cpu},
             {"mem_mb", MemoryMb},
             {"estimated_ms", WorkMs}}}}};
}

class Case {
public:
  int run() {
    bool Started = Deployment.start([this] {
      TrafficEnd = Deployment.Time.now() + TrafficMs;
      submitNext(LargeJob + 1);
      sample();
      // 5000 tasks of 0.005 cores and 8 MB: 25 of the 176 cores.
      if (hasTrouble())
        Deployment.Time.after(LargeAtMs, [this] {
          Deployment.submit(jobId(LargeJob), body(5000, 5, 8), WorkMs);
        });
      Deployment.Time.after(TrafficMs + FinishMs, [this] { judge(); });
    });
    return Started ? Deployment.run() : 2;
  }

private:
  static Fleet::Options options() {
    Fleet::Options Result;
    Result.Workers = 11;
    return Result;
  }

  void submitNext(std::uint64_t Number) {
    if (Deployment.Time.now() > TrafficEnd)
      return;
    Deployment.submit(jobId(Number), body(6, 240, 480), WorkMs);
    Deployment.Time.after(SubmitEveryMs,
                          [this, Number] { submitNext(Number + 1); });
  }

  /// Notes which jobs run, and whether the service is half used.
  void sample() {
    std::int64_t Now = Deployment.Time.now();
    double Used = 0;
    for (const auto &[Task, Hosts] : Deployment.Shared.RunningOn) {
      if (Hosts.empty())
        continue;
      const auto &Job = Deployment.Shared.Jobs.at(partsOf(Task).Job);
      LastRunning[partsOf(Task).Job] = Now;
      Used += Job.Body.at("steps").at(0).at("cpu").get<double>();
    }
    if (Used * 2 >= 11 * 16000.0)
      HalfUsedAt = Now;
    Deployment.Time.after(SampleMs, [this] { sample(); });
  }

  void judge() {
    std::int64_t Now = Deployment.Time.now();
    Deployment.askStates([this, Now] {
      int Accepted = 0;
      for (const auto &[Id, Job] : Deployment.Shared.Jobs) {
        Accepted += Job.Accepted ? 1 : 0;
        if (!Job.Accepted || Job.State == "completed")
          continue;
        std::int64_t Idle = Now - std::max(LastRunning[Id], HalfUsedAt);
        if (Idle >= IdleLimitMs)
          Deployment.Log.broken("LOST: accepted job " + Id + " is " +
                                Job.State +
                                " and has had nothing running for " +
                                std::to_string(Idle) + " ms");
      }
      Deployment.finish(Accepted == 0 ? 2 : Deployment.Log.Broken > 0 ? 1 : 0);
    });
  }

  Fleet Deployment{options()};
  std::int64_t TrafficEnd = 0;
  std::int64_t HalfUsedAt = 0;
  std::map<std::string, std::int64_t> LastRunning;
};

} // namespace

int main() { return Case().run(); }
