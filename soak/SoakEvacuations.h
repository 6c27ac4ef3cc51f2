// Evacuates one failure domain after the other and checks that nothing starts
// there after the bound.
#ifndef DAISYSPOOL_SOAK_SOAKEVACUATIONS_H
#define DAISYSPOOL_SOAK_SOAKEVACUATIONS_H

#include "SoakWorker.h"

namespace daisyspool::soak {

/// Thread safety: the I/O thread only.
class SoakEvacuations {
public:
  static constexpr Millis Bound{5000};
  /// An order may wait in a connection that is cut for so long.
  static constexpr Millis LongestCut{4300};

  /// Draws from a sequence of its own, so that the faults of a seed stay.
  SoakEvacuations(VirtualLoop &Loop, VirtualStore &Rows,
                  const std::vector<std::unique_ptr<SoakWorker>> &Workers,
                  std::uint64_t Seed)
      : Loop(Loop), Rows(Rows), Workers(Workers), Random(Seed + 1) {}

  /// Orders an evacuation, and after its end the next one.
  void begin() {
    if (Ended)
      return;
    Domain = draw(2) == 0 ? "a" : "b";
    OrderedAt = Loop.now();
    rows::RowTransaction Write;
    Write.Puts.push_back({rowName(Domain), "{}"});
    Write.Puts.push_back({rowName("nowhere"), "{}"});
    Rows.apply(Write);
    Loop.after(Millis(draw(2) == 0 ? draw(3000) : 6000 + draw(8000)),
               [this, Number = ++Count] { end(Number); });
  }

  /// Takes the domain back for good.
  void close() {
    end(Count);
    Ended = true;
  }

  std::vector<std::string> Failures;

private:
  static rows::RowName rowName(const std::string &Domain) {
    return {"op", "", "evacuate/" + Domain};
  }

  std::uint64_t draw(std::uint64_t Limit) {
    return std::uniform_int_distribution<std::uint64_t>(0, Limit - 1)(Random);
  }

  void end(std::uint64_t Number) {
    if (Ended || Number != Count || Domain.empty())
      return;
    for (const auto &Worker : Workers)
      for (const SoakWorker::PromptStart &Start : Worker->PromptStarts)
        if (Worker->Tasks.Domain == FailureDomainId(Domain) &&
            Start.At > OrderedAt + Bound + LongestCut)
          Failures.push_back("start in evacuated domain " + Domain);
    rows::RowTransaction Write;
    Write.Removes.push_back(rowName(Domain));
    Rows.apply(Write);
    Domain.clear();
    Loop.after(Millis(draw(2000)), [this] { begin(); });
  }

  VirtualLoop &Loop;
  VirtualStore &Rows;
  const std::vector<std::unique_ptr<SoakWorker>> &Workers;
  std::mt19937_64 Random;
  /// The domain that is evacuated now; empty if none is.
  std::string Domain;
  TimePoint OrderedAt{};
  std::uint64_t Count = 0;
  bool Ended = false;
};

} // namespace daisyspool::soak

#endif // DAISYSPOOL_SOAK_SOAKEVACUATIONS_H
