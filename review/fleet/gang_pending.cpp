// Gangs wait for room behind a burst, and clients ask how many jobs of the
// queue have not begun.
#include "Fleet.h"

using namespace daisyspool::review;

namespace {

constexpr std::int64_t WorkMs = 25000;
constexpr std::int64_t GangWorkMs = 2000;
constexpr std::uint64_t BurstJobs = 5;
constexpr std::uint64_t GangJobs = 6;
/// visible_ms and 2 s, and one more second for the answers' way.
constexpr std::int64_t PendingDueMs = 3000 + 2000 + 1000;
constexpr std::int64_t AskEveryMs = 500;
constexpr std::int64_t AskUntilMs = 15000;

json stepOf(int Count, int Cpu, bool Gang) {
  json Step{
      {"count", Count}, {"cpu", Cpu}, {"mem_mb", 1000}, {"estimated_ms", 2000}};
  if (Gang)
    Step["gang"] = true;
  return Step;
}

class Case {
public:
  int run() {
    bool Started = Deployment.start([this] {
      // A burst of ordinary jobs takes most of each worker for 25 s. Without
      // it the gangs begin at once.
      if (hasTrouble())
        for (std::uint64_t I = 1; I <= BurstJobs; ++I)
          Deployment.submit(
              jobId(I),
              {{"spec", "burst"}, {"steps", {stepOf(1, 11000, false)}}},
              WorkMs);
      Deployment.Time.after(1000, [this] {
        for (std::uint64_t I = 1; I <= GangJobs; ++I)
          Deployment.submit(
              jobId(100 + I),
              {{"spec", "gang"}, {"steps", {stepOf(6, 4000, true)}}},
              GangWorkMs, "gangs");
        SubmittedAt = Deployment.Time.now();
        Deployment.Time.after(PendingDueMs, [this] { ask(); });
      });
    });
    return Started ? Deployment.run() : 2;
  }

private:
  static Fleet::Options options() {
    Fleet::Options Result;
    Result.Routes.push_back(Fleet::route("gangs", 0, 2));
    return Result;
  }

  /// Number of accepted gangs of which no task has ever started.
  int notBegun() {
    int Count = 0;
    for (std::uint64_t I = 1; I <= GangJobs; ++I)
      if (Deployment.Shared.Jobs[jobId(100 + I)].Accepted &&
          Deployment.Shared.Starts[jobId(100 + I)] == 0)
        ++Count;
    return Count;
  }

  void ask() {
    if (Deployment.Time.now() > SubmittedAt + AskUntilMs)
      return Deployment.finish(Answers == 0                ? 2
                               : Deployment.Log.Broken > 0 ? 1
                                                           : 0);
    Deployment.call(
        "GET", "", "gangs", "", [this](int Status, const std::string &Body) {
          if (Status != 200)
            return;
          ++Answers;
          int Pending = json::parse(Body).value("pending", 0);
          // Those that had not begun when the answer was made had
          // not begun before either.
          int Left = notBegun();
          if (2 * Pending < Left)
            Deployment.Log.broken("MIXED: pending is given as " +
                                  std::to_string(Pending) + ", " +
                                  std::to_string(Left) +
                                  " jobs accepted over 5 s ago have not begun");
        });
    Deployment.Time.after(AskEveryMs, [this] { ask(); });
  }

  Fleet Deployment{options()};
  std::int64_t SubmittedAt = 0;
  int Answers = 0;
};

} // namespace

int main() { return Case().run(); }
