// The part of AgentSession that watches the progress of runs and paces those
// that only fill idle processors.
#include "daisyspool/runner/AgentSession.h"

#include "daisyspool/telemetry/Log.h"

#include <algorithm>

namespace daisyspool::runner {

void AgentSession::watchProgress(TimePoint Now) {
  std::map<RunName, Watched> Next;
  std::vector<RunName> StalledNow;
  for (const RunningTask &Task : Running) {
    auto Before = Progress.find(Task.Name);
    auto Known = Hints.find(Task.Name);
    bool Paced = Known != Hints.end() && Known->second.PacedTo < 100;
    bool Moved = Before == Progress.end() ||
                 Before->second.Percent != Task.Percent || Paced;
    Watched &Entry = Next[Task.Name];
    Entry = Moved ? Watched{Task.Percent, Now} : Before->second;
    if (Known == Hints.end() || Known->second.StallAfter == Millis(0) ||
        Task.Percent >= 100)
      continue;
    if (Now - Entry.Since > Known->second.StallAfter)
      StalledNow.push_back(Task.Name);
  }
  Progress = std::move(Next);
  if (StalledNow.size() > Stalled.size())
    news();
  Stalled = std::move(StalledNow);
}

double AgentSession::worstTailBeside(const Hint &Filling) const {
  double Worst = 0;
  for (const RunningTask &Task : Running) {
    auto Known = Hints.find(Task.Name);
    if (Known == Hints.end() || Known->second.TailTarget == Millis(0))
      continue;
    const auto &Harmless = Filling.HarmlessTo;
    if (std::find(Harmless.begin(), Harmless.end(), Known->second.Image) !=
        Harmless.end())
      continue;
    Worst = std::max(Worst,
                     static_cast<double>(Task.Load) /
                         static_cast<double>(Known->second.TailTarget.count()));
  }

  return Worst;
}

void AgentSession::paceFilling(TimePoint Now) {
  double Worst = 0;
  double WorstOfAll = worstTailBeside({});
  std::vector<std::pair<RunName, double>> Filling;
  for (const RunningTask &Task : Running) {
    auto Known = Hints.find(Task.Name);
    if (Known == Hints.end() || !Known->second.FillsIdleCpu)
      continue;
    Filling.emplace_back(Task.Name, worstTailBeside(Known->second));
    Worst = std::max(Worst, Filling.back().second);
  }
  if (!Filling.empty())
    Overrun.update(WorstOfAll, Now);
  Pacer.update(Worst, Now);
  for (const auto &[Name, Tail] : Filling)
    pace(Name, percentBeside(Tail), Tail);
}

std::uint32_t AgentSession::percentBeside(double Tail) const {
  // Beyond the last bound what is known of harmless pairs is not relied on.
  if (Overrun.level() == TailOverrun::Stop::All)
    return 0;
  // A task beside services that are well off needs no slowing down.
  if (Tail < FillPacer::SpeedUpBelow)
    return 100;
  return Overrun.level() == TailOverrun::Stop::Suspects ? 0 : Pacer.percent();
}

/// Load pattern: short filling tasks that follow each other; each would work at
/// full speed until the next listing and keep a tail beyond its target.
void AgentSession::paceNew(const RunName &Name) {
  auto Known = Hints.find(Name);
  if (Known == Hints.end() || !Known->second.FillsIdleCpu)
    return;
  double Tail = worstTailBeside(Known->second);
  pace(Name, percentBeside(Tail), Tail);
}

void AgentSession::pace(const RunName &Name, std::uint32_t Percent,
                        double Tail) {
  Hint &Known = Hints[Name];
  if (Known.PacedTo == Percent)
    return;

  std::uint32_t Before = Known.PacedTo;
  Known.PacedTo = Percent;
  LogEvent(LogLevel::Info, "run_paced")
      .with("task", workload::toString(Name.Task))
      .with("percent", Percent)
      .with("tail_percent", static_cast<std::int64_t>(Tail * 100));
  Port.pace(Token, workerId(), Name, Percent,
            [this, Name, Before](const OrderOutcome &Outcome) {
              auto Paced = Hints.find(Name);
              // Without an answer the next listing tries again.
              if (!std::holds_alternative<Done>(Outcome) &&
                  Paced != Hints.end())
                Paced->second.PacedTo = Before;
            });
}

} // namespace daisyspool::runner
