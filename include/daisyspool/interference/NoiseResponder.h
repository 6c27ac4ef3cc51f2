#ifndef DAISYSPOOL_INTERFERENCE_NOISERESPONDER_H
#define DAISYSPOOL_INTERFERENCE_NOISERESPONDER_H

#include "daisyspool/interference/ColocationHistory.h"
#include "daisyspool/interference/InterferenceModel.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace daisyspool::interference {

/// A measurement of one latency-critical task over a past window.
struct SlowdownReport {
  VmIndex Vm;
  TaskIndex Victim;
  KindIndex Kind;
  LoadBand Band = LoadBand::Low;
  double Slowdown = 1;
  TimePoint From;
  TimePoint To;
};

enum class Step : std::uint8_t { Throttle, Release, CheckpointAndMove, Stop };

/// The inputs of one response.
struct ResponseReason {
  TaskIndex Victim;
  double Slowdown = 1;
  /// Excess that the model expects from this task.
  double Expected = 0;
  /// Slowdown before the task was throttled; 1 if it was not.
  double SlowdownBefore = 1;
  Duration ReportAge{};
};

struct Response {
  VmIndex Vm;
  TaskIndex Task;
  Step Do = Step::Throttle;
  ResponseReason Why;
};

/// Protects latency-critical tasks from noisy neighbours in steps: throttle,
/// then checkpoint and move, then stop.
///
/// The throttle is also the test of the suspicion: only a task whose throttling
/// was followed by a lower slowdown, in a report that began after the throttle,
/// can be moved or stopped; others are released and left alone for a while.
/// This follows CPI2 (Zhang et al., EuroSys 2013), which throttles antagonists
/// found by correlation. Two thresholds prevent flapping, and a throttle lasts
/// while the model expects the slowdown to return.
///
/// Thread safety: one thread at a time.
class NoiseResponder {
public:
  struct Options {
    /// A victim is slowed above High and well again below Low.
    double High = 1.5;
    double Low = 1.2;
    /// Slow reports in a row before the first step.
    std::uint32_t ReportsToAct = 2;
    /// Smallest expected excess of a suspect, and its smallest part of the
    /// measured excess.
    double MinExpected = 0.1;
    double MinPart = 0.15;
    /// Part of the excess that the suspects together must explain.
    double Explained = 0.8;
    /// Part of the excess that a task at full speed must explain to be moved.
    double MovePart = 0.5;
    /// Fall of the slowdown that confirms suspects throttled together, as a
    /// part of what is expected from them; tasks throttled earlier still add to
    /// the slowdown, so the whole excess is no measure.
    double Confirmation = 0.3;
    /// Reports after a throttle before it is judged without a fall.
    std::uint32_t ReportsToJudge = 3;
    Millis ReleaseAfter{60000};
    Millis MoveAfter{10000};
    Millis StopAfter{20000};
    /// Time in which a task that proved innocent is not suspected.
    Millis Acquittal{120000};
  };

  explicit NoiseResponder(Options Config) : Config(Config) {}
  NoiseResponder() : NoiseResponder(Options{}) {}

  /// Learns from \p Report and returns the steps that it calls for. The
  /// caller applies them and records them in \p History. \p MayThrottle says
  /// whether a neighbour is batch work at full speed; to throttle a task that
  /// is throttled already would change nothing and acquit it.
  template <typename Predicate>
  std::vector<Response> onReport(const SlowdownReport &Report,
                                 InterferenceModel &Model,
                                 const ColocationHistory &History,
                                 TimePoint Now, Predicate MayThrottle) {
    auto Neighbours = History.during(Report.Vm, Report.From, Report.To);
    std::erase_if(Neighbours, [&](const Neighbour &Each) {
      return Each.Task == Report.Victim;
    });
    Model.observe(Report.Kind, Report.Band, Neighbours, Report.Slowdown, Now);
    std::erase_if(Neighbours, [&](const Neighbour &Each) {
      return !Each.Current || !MayThrottle(Each.Task);
    });

    return respond(Report, Model, Neighbours, Now);
  }

  /// Forgets a task that left its VM. Returns the tasks that were throttled
  /// for its sake and must be released.
  std::vector<TaskIndex> onTaskGone(VmIndex Vm, TaskIndex Task);

  std::size_t troubledVms() const { return Troubles.size(); }

private:
  enum class Stage : std::uint8_t { Throttled, Confirmed, Moving };
  struct Suspect {
    TaskIndex Task;
    KindIndex Kind;
    TaskIndex Victim;
    Stage At = Stage::Throttled;
    std::uint32_t Judged = 0;
    double SlowdownBefore = 1;
    double Expected = 0;
    /// Expected from all suspects throttled in the same step.
    double Together = 0;
    TimePoint ActedAt;
    TimePoint QuietSince;
  };
  struct Acquitted {
    TaskIndex Task;
    TimePoint Until;
  };
  struct Trouble {
    std::unordered_map<TaskIndex, std::uint32_t> SlowReports;
    std::vector<Suspect> Suspects;
    std::vector<Acquitted> Innocent;
  };

  std::vector<Response> respond(const SlowdownReport &Report,
                                const InterferenceModel &Model,
                                const std::vector<Neighbour> &Neighbours,
                                TimePoint Now);
  void judge(Trouble &At, const SlowdownReport &Report,
             const InterferenceModel &Model, TimePoint Now,
             std::vector<Response> &Steps);
  bool judgeOne(Trouble &At, Suspect &Of, const SlowdownReport &Report,
                const InterferenceModel &Model, TimePoint Now,
                std::vector<Response> &Steps);
  void escalate(const Trouble &At, Suspect &Of, const SlowdownReport &Report,
                const InterferenceModel &Model, TimePoint Now,
                std::vector<Response> &Steps);
  void accuse(Trouble &At, const SlowdownReport &Report,
              const InterferenceModel &Model,
              const std::vector<Neighbour> &Neighbours, TimePoint Now,
              std::vector<Response> &Steps);
  static Response step(const Suspect &Of, Step Do, const SlowdownReport &Report,
                       TimePoint Now);

  Options Config;
  std::unordered_map<VmIndex, Trouble> Troubles;
};

} // namespace daisyspool::interference

#endif // DAISYSPOOL_INTERFERENCE_NOISERESPONDER_H
