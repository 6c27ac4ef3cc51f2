// Machines beside workers are removed for good. Later new machines with other
// names get their addresses, each with a worker of its own.
#include "Fleet.h"

using namespace daisyspool::review;
namespace http = daisyspool::http;

namespace {

constexpr std::size_t Replaced = 2;
constexpr std::int64_t WorkMs = 800;
constexpr std::int64_t TrafficMs = 40000;
constexpr std::int64_t SubmitEveryMs = 110;
constexpr std::int64_t RemoveAtMs = 1500;
/// Well after address_reuse_s of the pages, 2 s.
constexpr std::int64_t AddAtMs = 6000;
constexpr std::int64_t EndMs = 45000;

class Case {
public:
  int run() {
    bool Started = Deployment.start([this] {
      TrafficEnd = Deployment.Time.now() + TrafficMs;
      submitNext(1);
      Deployment.Time.after(RemoveAtMs, [this] {
        for (std::size_t I = 0; I < Replaced; ++I) {
          Deployment.Log.line(Deployment.Workers[I]->name() +
                              " and its machine are removed for good");
          Deployment.removeMachine(I);
        }
      });
      Deployment.Time.after(AddAtMs, [this] {
        for (std::size_t I = 0; I < Replaced; ++I)
          addMachine(I);
      });
      Deployment.Time.after(EndMs, [this] {
        bool HasRun = !Deployment.Shared.DoneNoted.empty();
        Deployment.finish(Deployment.Log.Broken > 0 ? 1 : HasRun ? 0 : 2);
      });
    });
    return Started ? Deployment.run() : 2;
  }

private:
  void addMachine(std::size_t Gone) {
    // Without the disruption the new machine has an address of its own.
    http::Endpoint Links =
        hasTrouble() ? Deployment.linksOf(Gone) : Deployment.freeAddress();
    Process &Agent = Deployment.addMachine(Links);
    Deployment.Log.line(
        Deployment.Workers.back()->name() + " comes with a new machine at " +
        http::toString(Links) + "; " + Deployment.Workers[Gone]->name() +
        " was at " + http::toString(Deployment.linksOf(Gone)));
    if (!Agent.start())
      Deployment.finish(2);
  }

  /// Jobs that keep all workers in use.
  void submitNext(std::uint64_t Number) {
    if (Deployment.Time.now() > TrafficEnd)
      return;
    Deployment.submit(jobId(Number),
                      {{"spec", "profile"},
                       {"steps",
                        {{{"count", 6},
                          {"cpu", 2200},
                          {"mem_mb", 500},
                          {"estimated_ms", WorkMs}}}}},
                      WorkMs);
    Deployment.Time.after(SubmitEveryMs,
                          [this, Number] { submitNext(Number + 1); });
  }

  Fleet Deployment{{}};
  std::int64_t TrafficEnd = 0;
};

} // namespace

int main() { return Case().run(); }
