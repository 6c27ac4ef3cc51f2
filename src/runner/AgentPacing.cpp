// The part of AgentSession that detects stalled runs and paces those that only
// fill idle CPUs.
#include "daisyspool/runner/AgentSession.h"

#include "daisyspool/telemetry/Log.h"

#include <algorithm>

namespace daisyspool::runner {

void AgentSession::detectStalls(TimePoint Now) {
  std::map<RunName, ProgressSample> Next;
  std::vector<RunName> StalledNow;
  for (const RunningTask &Task : Running) {
    auto Previous = Progress.find(Task.Name);
    auto Known = TraitsByRun.find(Task.Name);
    bool Paced = Known != TraitsByRun.end() && Known->second.PacedTo < 100;
    bool Progressed = Previous == Progress.end() ||
                      Previous->second.Percent != Task.Percent || Paced;
    ProgressSample &Sample = Next[Task.Name];
    Sample = Progressed ? ProgressSample{Task.Percent, Now} : Previous->second;
    if (Known == TraitsByRun.end() || Known->second.StallAfter == Millis(0) ||
        Task.Percent >= 100)
      continue;
    if (Now - Sample.Since > Known->second.StallAfter)
      StalledNow.push_back(Task.Name);
  }
  Progress = std::move(Next);
  if (StalledNow.size() > Stalled.size())
    reportChange();
  Stalled = std::move(StalledNow);
}

double AgentSession::worstTailRatio(const RunTraits &FillingTask) const {
  double WorstRatio = 0;
  for (const RunningTask &Task : Running) {
    auto Known = TraitsByRun.find(Task.Name);
    if (Known == TraitsByRun.end() || Known->second.TailTarget == Millis(0))
      continue;
    const auto &Harmless = FillingTask.HarmlessTo;
    if (std::find(Harmless.begin(), Harmless.end(), Known->second.Image) !=
        Harmless.end())
      continue;
    WorstRatio = std::max(
        WorstRatio, static_cast<double>(Task.Load) /
                        static_cast<double>(Known->second.TailTarget.count()));
  }

  return WorstRatio;
}

void AgentSession::paceFillingTasks(TimePoint Now) {
  double WorstRatio = 0;
  double WorstRatioOfAll = worstTailRatio({});
  std::vector<std::pair<RunName, double>> FillingTasks;
  for (const RunningTask &Task : Running) {
    auto Known = TraitsByRun.find(Task.Name);
    if (Known == TraitsByRun.end() || !Known->second.FillsIdleCpu)
      continue;
    FillingTasks.emplace_back(Task.Name, worstTailRatio(Known->second));
    WorstRatio = std::max(WorstRatio, FillingTasks.back().second);
  }
  if (!FillingTasks.empty())
    Overrun.update(WorstRatioOfAll, Now);
  Pacer.update(WorstRatio, Now);
  for (const auto &[Name, TailRatio] : FillingTasks)
    setPace(Name, pacePercent(TailRatio), TailRatio);
}

std::uint32_t AgentSession::pacePercent(double TailRatio) const {
  // After that long the classification of harmless pairs is no longer relied
  // on.
  if (Overrun.level() == TailOverrun::Stop::All)
    return 0;
  // A task beside services well below their target needs no slowing down.
  if (TailRatio < FillPacer::SpeedUpBelow)
    return 100;
  return Overrun.level() == TailOverrun::Stop::Suspects ? 0 : Pacer.percent();
}

/// Load pattern: short filling tasks that follow each other; without this each
/// would run at full speed until the next listing and keep the tail latency
/// above the target.
void AgentSession::paceNewRun(const RunName &Name) {
  auto Known = TraitsByRun.find(Name);
  if (Known == TraitsByRun.end() || !Known->second.FillsIdleCpu)
    return;
  double TailRatio = worstTailRatio(Known->second);
  setPace(Name, pacePercent(TailRatio), TailRatio);
}

void AgentSession::setPace(const RunName &Name, std::uint32_t Percent,
                           double TailRatio) {
  RunTraits &Known = TraitsByRun[Name];
  if (Known.PacedTo == Percent)
    return;

  std::uint32_t Before = Known.PacedTo;
  Known.PacedTo = Percent;
  LogEvent(LogLevel::Info, "run_paced")
      .with("task", workload::toString(Name.Task))
      .with("percent", Percent)
      .with("tail_percent", static_cast<std::int64_t>(TailRatio * 100));
  Port.pace(Token, workerId(), Name, Percent,
            [this, Name, Before](const OrderOutcome &Outcome) {
              auto Paced = TraitsByRun.find(Name);
              // If the worker did not accept the pace, the next listing
              // triggers another attempt.
              if (!std::holds_alternative<Done>(Outcome) &&
                  Paced != TraitsByRun.end())
                Paced->second.PacedTo = Before;
            });
}

} // namespace daisyspool::runner
