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
/// The throttle also tests whether the task is the cause: only a task whose
/// throttling was followed by a lower slowdown, in a report whose window began
/// after the throttle, can be moved or stopped; others are released and exempt
/// for a while.
/// This follows CPI2 (Zhang et al., EuroSys 2013), which throttles antagonists
/// found by correlation. Two thresholds give hysteresis, and a throttle is kept
/// while the model expects the slowdown to return.
///
/// Thread safety: one thread at a time.
class NoiseResponder {
public:
  struct Options {
    /// A victim counts as slowed at a slowdown of High or more, and as
    /// recovered below Low.
    double High = 1.5;
    double Low = 1.2;
    /// Number of reports above High, without one below Low between them, before
    /// suspects are throttled.
    std::uint32_t ReportsToAct = 2;
    /// Smallest expected excess of a suspect, and its smallest share of the
    /// measured excess.
    double MinExpected = 0.1;
    double MinShare = 0.15;
    /// Suspects are added until they explain this share of the excess.
    double ShareToExplain = 0.8;
    /// Share of the excess that a task at full speed must explain to be moved.
    double MinShareToMove = 0.5;
    /// Decrease of the slowdown that confirms suspects throttled together, as a
    /// share of their expected excess. It does not refer to the whole excess,
    /// because tasks throttled earlier still add to the slowdown.
    double ConfirmationShare = 0.3;
    /// Number of reports after a throttle within which the slowdown must
    /// decrease.
    std::uint32_t MaxReportsToConfirm = 3;
    Millis ReleaseAfter{60000};
    Millis MoveAfter{10000};
    Millis StopAfter{20000};
    /// Time in which a task whose throttling did not help is not suspected.
    Millis ExemptionPeriod{120000};
  };

  explicit NoiseResponder(Options Config) : Config(Config) {}
  NoiseResponder() : NoiseResponder(Options{}) {}

  /// Updates \p Model with \p Report and returns the responses to it. The
  /// caller applies them and records them in \p History. \p MayThrottle says
  /// whether a neighbour is a batch task at full speed; throttling a task that
  /// is already throttled would have no effect, and the task would become
  /// exempt.
  template <typename Predicate>
  std::vector<Response> onReport(const SlowdownReport &Report,
                                 InterferenceModel &Model,
                                 const ColocationHistory &History,
                                 TimePoint Now, Predicate MayThrottle) {
    auto Neighbours =
        History.neighboursDuring(Report.Vm, Report.From, Report.To);
    std::erase_if(Neighbours, [&](const Neighbour &Each) {
      return Each.Task == Report.Victim;
    });
    Model.observe(Report.Kind, Report.Band, Neighbours, Report.Slowdown, Now);
    std::erase_if(Neighbours, [&](const Neighbour &Each) {
      return !Each.Current || !MayThrottle(Each.Task);
    });

    return respond(Report, Model, Neighbours, Now);
  }

  /// Removes a task that left its VM. Returns the tasks that were throttled to
  /// protect it and must be released.
  std::vector<TaskIndex> onTaskGone(VmIndex Vm, TaskIndex Task);

  std::size_t trackedVms() const { return VmStates.size(); }

private:
  enum class Stage : std::uint8_t { Throttled, Confirmed, Moving };
  struct Suspect {
    TaskIndex Task;
    KindIndex Kind;
    TaskIndex Victim;
    Stage CurrentStage = Stage::Throttled;
    std::uint32_t EvaluatedReports = 0;
    double SlowdownBefore = 1;
    double Expected = 0;
    /// Expected excess of all suspects throttled by the same report.
    double JointExpected = 0;
    TimePoint ActedAt;
    TimePoint BelowLowSince;
  };
  struct ExemptTask {
    TaskIndex Task;
    TimePoint Until;
  };
  struct VmState {
    std::unordered_map<TaskIndex, std::uint32_t> SlowReports;
    std::vector<Suspect> Suspects;
    std::vector<ExemptTask> Exempt;
  };

  std::vector<Response> respond(const SlowdownReport &Report,
                                const InterferenceModel &Model,
                                const std::vector<Neighbour> &Neighbours,
                                TimePoint Now);
  void evaluateSuspects(VmState &State, const SlowdownReport &Report,
                        const InterferenceModel &Model, TimePoint Now,
                        std::vector<Response> &Responses);
  bool evaluateSuspect(VmState &State, Suspect &Suspected,
                       const SlowdownReport &Report,
                       const InterferenceModel &Model, TimePoint Now,
                       std::vector<Response> &Responses);
  void escalate(const VmState &State, Suspect &Suspected,
                const SlowdownReport &Report, const InterferenceModel &Model,
                TimePoint Now, std::vector<Response> &Responses);
  void throttleSuspects(VmState &State, const SlowdownReport &Report,
                        const InterferenceModel &Model,
                        const std::vector<Neighbour> &Neighbours, TimePoint Now,
                        std::vector<Response> &Responses);
  static Response makeResponse(const Suspect &Suspected, Step Action,
                               const SlowdownReport &Report, TimePoint Now);

  Options Config;
  std::unordered_map<VmIndex, VmState> VmStates;
};

} // namespace daisyspool::interference

#endif // DAISYSPOOL_INTERFERENCE_NOISERESPONDER_H
