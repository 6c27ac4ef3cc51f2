#include "daisyspool/interference/NoiseResponder.h"

#include <algorithm>

namespace daisyspool::interference {

Response NoiseResponder::step(const Suspect &Of, Step Do,
                              const SlowdownReport &Report, TimePoint Now) {
  return {Report.Vm,
          Of.Task,
          Do,
          {Report.Victim, Report.Slowdown, Of.Expected, Of.SlowdownBefore,
           Now - Report.To}};
}

std::vector<Response> NoiseResponder::respond(
    const SlowdownReport &Report, const InterferenceModel &Model,
    const std::vector<Neighbour> &Neighbours, TimePoint Now) {
  std::vector<Response> Steps;
  auto Known = Troubles.find(Report.Vm);
  if (Known == Troubles.end() && Report.Slowdown < Config.High)
    return Steps;

  Trouble &At = Troubles[Report.Vm];
  std::erase_if(At.Innocent,
                [&](const Acquitted &Each) { return Each.Until <= Now; });
  judge(At, Report, Model, Now, Steps);

  std::uint32_t &Slow = At.SlowReports[Report.Victim];
  if (Report.Slowdown >= Config.High)
    ++Slow;
  else if (Report.Slowdown < Config.Low)
    Slow = 0;
  if (Slow >= Config.ReportsToAct)
    accuse(At, Report, Model, Neighbours, Now, Steps);

  bool Calm = std::all_of(At.SlowReports.begin(), At.SlowReports.end(),
                          [](const auto &Each) { return Each.second == 0; });
  if (Calm && At.Suspects.empty() && At.Innocent.empty())
    Troubles.erase(Report.Vm);

  return Steps;
}

void NoiseResponder::judge(Trouble &At, const SlowdownReport &Report,
                           const InterferenceModel &Model, TimePoint Now,
                           std::vector<Response> &Steps) {
  std::vector<TaskIndex> Done;
  for (Suspect &Each : At.Suspects) {
    // A window that began before the step shows nothing of its effect.
    if (Each.Victim != Report.Victim || Report.From < Each.ActedAt)
      continue;
    if (judgeOne(At, Each, Report, Model, Now, Steps))
      Done.push_back(Each.Task);
  }
  std::erase_if(At.Suspects, [&](const Suspect &Each) {
    return std::find(Done.begin(), Done.end(), Each.Task) != Done.end();
  });
}

/// Returns whether \p Of is no longer a suspect.
bool NoiseResponder::judgeOne(Trouble &At, Suspect &Of,
                              const SlowdownReport &Report,
                              const InterferenceModel &Model, TimePoint Now,
                              std::vector<Response> &Steps) {
  ++Of.Judged;
  bool Fell =
      Of.SlowdownBefore - Report.Slowdown >= Config.Confirmation * Of.Together;
  if (Of.At == Stage::Throttled && Fell)
    Of.At = Stage::Confirmed;
  if (Of.At == Stage::Throttled) {
    if (Of.Judged < Config.ReportsToJudge)
      return false;
    At.Innocent.push_back({Of.Task, Now + Config.Acquittal});
    Steps.push_back(step(Of, Step::Release, Report, Now));
    return true;
  }

  if (Report.Slowdown >= Config.Low) {
    Of.QuietSince = Now;
    escalate(At, Of, Report, Model, Now, Steps);
    return false;
  }
  if (Of.At == Stage::Moving || Now - Of.QuietSince < Config.ReleaseAfter)
    return false;
  double Expected = Model.pair(Report.Kind, Of.Kind, Report.Band, Now).Excess;
  if (Report.Slowdown + Expected >= Config.High)
    return false;
  Steps.push_back(step(Of, Step::Release, Report, Now));
  return true;
}

void NoiseResponder::escalate(const Trouble &At, Suspect &Of,
                              const SlowdownReport &Report,
                              const InterferenceModel &Model, TimePoint Now,
                              std::vector<Response> &Steps) {
  if (Report.Slowdown < Config.High)
    return;

  // Suspects are throttled together, so one may owe its confirmation to
  // another; only a task that explains much of the excess itself is moved.
  double Own = Model.pair(Report.Kind, Of.Kind, Report.Band, Now).Excess;
  if (Own < Config.MovePart * (Report.Slowdown - 1))
    return;

  // One move at a time: the first may be enough.
  bool OtherMoves = std::any_of(
      At.Suspects.begin(), At.Suspects.end(), [&](const Suspect &Each) {
        return Each.Task != Of.Task && Each.At == Stage::Moving;
      });
  if (Of.At == Stage::Confirmed && !OtherMoves &&
      Now - Of.ActedAt >= Config.MoveAfter) {
    Of.At = Stage::Moving;
    Of.ActedAt = Now;
    Steps.push_back(step(Of, Step::CheckpointAndMove, Report, Now));
    return;
  }
  if (Of.At == Stage::Moving && Now - Of.ActedAt >= Config.StopAfter) {
    Of.ActedAt = Now;
    Steps.push_back(step(Of, Step::Stop, Report, Now));
  }
}

void NoiseResponder::accuse(Trouble &At, const SlowdownReport &Report,
                            const InterferenceModel &Model,
                            const std::vector<Neighbour> &Neighbours,
                            TimePoint Now, std::vector<Response> &Steps) {
  // While a throttle is unjudged, another one would spoil the test.
  bool Testing = std::any_of(
      At.Suspects.begin(), At.Suspects.end(),
      [](const Suspect &Each) { return Each.At == Stage::Throttled; });
  if (Testing)
    return;

  std::vector<Suspect> Likely;
  for (const Neighbour &Each : Neighbours) {
    bool Held =
        std::any_of(At.Suspects.begin(), At.Suspects.end(),
                    [&](const Suspect &S) { return S.Task == Each.Task; }) ||
        std::any_of(At.Innocent.begin(), At.Innocent.end(),
                    [&](const Acquitted &A) { return A.Task == Each.Task; });
    double Expected =
        Model.pair(Report.Kind, Each.Kind, Report.Band, Now).Excess *
        Each.Presence;
    if (Held || Expected < Config.MinExpected ||
        Expected < Config.MinPart * (Report.Slowdown - 1))
      continue;
    Likely.push_back({Each.Task, Each.Kind, Report.Victim, Stage::Throttled, 0,
                      Report.Slowdown, Expected, 0, Now, Now});
  }
  std::stable_sort(Likely.begin(), Likely.end(),
                   [](const Suspect &A, const Suspect &B) {
                     return A.Expected > B.Expected;
                   });

  double Explained = 0;
  std::size_t Chosen = 0;
  while (Chosen < Likely.size() &&
         Explained < Config.Explained * (Report.Slowdown - 1))
    Explained += Likely[Chosen++].Expected;
  Likely.resize(Chosen);
  for (Suspect &Each : Likely) {
    Each.Together = Explained;
    Steps.push_back(step(Each, Step::Throttle, Report, Now));
    At.Suspects.push_back(Each);
  }
}

std::vector<TaskIndex> NoiseResponder::onTaskGone(VmIndex Vm, TaskIndex Task) {
  std::vector<TaskIndex> Released;
  auto Known = Troubles.find(Vm);
  if (Known == Troubles.end())
    return Released;

  Trouble &At = Known->second;
  At.SlowReports.erase(Task);
  for (const Suspect &Each : At.Suspects)
    if (Each.Victim == Task && Each.Task != Task)
      Released.push_back(Each.Task);
  std::erase_if(At.Suspects, [&](const Suspect &Each) {
    return Each.Task == Task || Each.Victim == Task;
  });
  std::erase_if(At.Innocent,
                [&](const Acquitted &Each) { return Each.Task == Task; });

  return Released;
}

} // namespace daisyspool::interference
