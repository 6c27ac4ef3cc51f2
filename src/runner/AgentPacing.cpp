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

void AgentSession::updatePacers(TimePoint Now) {
  std::map<workload::ImageId, double> WorstRatios;
  for (const RunningTask &Task : Running) {
    auto Known = TraitsByRun.find(Task.Name);
    if (Known == TraitsByRun.end() || Known->second.TailTarget == Millis(0))
      continue;
    double &Worst = WorstRatios[Known->second.Image];
    Worst = std::max(Worst,
                     static_cast<double>(Task.Load) /
                         static_cast<double>(Known->second.TailTarget.count()));
  }
  std::erase_if(Pacers, [&](const auto &Each) {
    return WorstRatios.count(Each.first) == 0;
  });
  for (const auto &[Image, Ratio] : WorstRatios)
    Pacers[Image].update(Ratio, Now);
}

void AgentSession::paceFillingTasks(TimePoint Now) {
  updatePacers(Now);
  std::vector<RunName> FillingTasks;
  for (const RunningTask &Task : Running) {
    auto Known = TraitsByRun.find(Task.Name);
    if (Known != TraitsByRun.end() && Known->second.FillsIdleCpu)
      FillingTasks.push_back(Task.Name);
  }
  double WorstRatio = 0;
  for (const auto &[Image, Pacer] : Pacers)
    WorstRatio = std::max(WorstRatio, Pacer.tailRatio());
  if (!FillingTasks.empty())
    Overrun.update(WorstRatio, Now);
  for (const RunName &Name : FillingTasks)
    setPace(Name, paceFor(TraitsByRun[Name]));
}

AgentSession::Pace AgentSession::paceFor(const RunTraits &FillingTask) const {
  Pace Result;
  for (const auto &[Image, Pacer] : Pacers) {
    const auto &Harmless = FillingTask.HarmlessTo;
    if (std::find(Harmless.begin(), Harmless.end(), Image) != Harmless.end())
      continue;
    Result.TailRatio = std::max(Result.TailRatio, Pacer.tailRatio());
    Result.Percent = std::min(Result.Percent, Pacer.percent());
  }
  // After that long the classification of harmless pairs is no longer relied
  // on.
  bool IsSuspect = Result.TailRatio >= FillPacer::SpeedUpBelow;
  if (Overrun.level() == TailOverrun::Stop::All ||
      (Overrun.level() == TailOverrun::Stop::Suspects && IsSuspect))
    Result.Percent = 0;
  return Result;
}

/// Load pattern: short filling tasks that follow each other; without this each
/// would run at full speed until the next listing and keep the tail latency
/// above the target.
void AgentSession::paceNewRun(const RunName &Name) {
  auto Known = TraitsByRun.find(Name);
  if (Known == TraitsByRun.end() || !Known->second.FillsIdleCpu)
    return;
  setPace(Name, paceFor(Known->second));
}

void AgentSession::setPace(const RunName &Name, const Pace &Wanted) {
  RunTraits &Known = TraitsByRun[Name];
  std::uint32_t Percent = Wanted.Percent;
  if (Known.PacedTo == Percent)
    return;

  std::uint32_t Before = Known.PacedTo;
  Known.PacedTo = Percent;
  LogEvent(LogLevel::Info, "run_paced")
      .with("task", workload::toString(Name.Task))
      .with("percent", Percent)
      .with("tail_percent", static_cast<std::int64_t>(Wanted.TailRatio * 100));
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
