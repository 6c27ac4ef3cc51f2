#include "daisyspool/interference/NoiseResponder.h"

#include <algorithm>

namespace daisyspool::interference {

Response NoiseResponder::makeResponse(const Suspect &Suspected, Step Action,
                                      const SlowdownReport &Report,
                                      TimePoint Now) {
  return {Report.Vm,
          Suspected.Task,
          Action,
          {Report.Victim, Report.Slowdown, Suspected.Expected,
           Suspected.SlowdownBefore, Now - Report.To}};
}

std::vector<Response> NoiseResponder::respond(
    const SlowdownReport &Report, const InterferenceModel &Model,
    const std::vector<Neighbour> &Neighbours, TimePoint Now) {
  std::vector<Response> Responses;
  auto Known = VmStates.find(Report.Vm);
  if (Known == VmStates.end() && Report.Slowdown < Config.High)
    return Responses;

  VmState &State = VmStates[Report.Vm];
  std::erase_if(State.Exempt,
                [&](const ExemptTask &Each) { return Each.Until <= Now; });
  evaluateSuspects(State, Report, Model, Now, Responses);

  std::uint32_t &Slow = State.SlowReports[Report.Victim];
  if (Report.Slowdown >= Config.High)
    ++Slow;
  else if (Report.Slowdown < Config.Low)
    Slow = 0;
  if (Slow >= Config.ReportsToAct)
    throttleSuspects(State, Report, Model, Neighbours, Now, Responses);

  bool NoSlowReports =
      std::all_of(State.SlowReports.begin(), State.SlowReports.end(),
                  [](const auto &Each) { return Each.second == 0; });
  if (NoSlowReports && State.Suspects.empty() && State.Exempt.empty())
    VmStates.erase(Report.Vm);

  return Responses;
}

void NoiseResponder::evaluateSuspects(VmState &State,
                                      const SlowdownReport &Report,
                                      const InterferenceModel &Model,
                                      TimePoint Now,
                                      std::vector<Response> &Responses) {
  std::vector<TaskIndex> Done;
  for (Suspect &Each : State.Suspects) {
    // A window that began before the response does not show its effect.
    if (Each.Victim != Report.Victim || Report.From < Each.ActedAt)
      continue;
    if (evaluateSuspect(State, Each, Report, Model, Now, Responses))
      Done.push_back(Each.Task);
  }
  std::erase_if(State.Suspects, [&](const Suspect &Each) {
    return std::find(Done.begin(), Done.end(), Each.Task) != Done.end();
  });
}

/// Returns whether \p Suspected is no longer a suspect.
bool NoiseResponder::evaluateSuspect(VmState &State, Suspect &Suspected,
                                     const SlowdownReport &Report,
                                     const InterferenceModel &Model,
                                     TimePoint Now,
                                     std::vector<Response> &Responses) {
  ++Suspected.EvaluatedReports;
  bool SlowdownFell = Suspected.SlowdownBefore - Report.Slowdown >=
                      Config.ConfirmationShare * Suspected.JointExpected;
  if (Suspected.CurrentStage == Stage::Throttled && SlowdownFell)
    Suspected.CurrentStage = Stage::Confirmed;
  if (Suspected.CurrentStage == Stage::Throttled) {
    if (Suspected.EvaluatedReports < Config.MaxReportsToConfirm)
      return false;
    State.Exempt.push_back({Suspected.Task, Now + Config.ExemptionPeriod});
    Responses.push_back(makeResponse(Suspected, Step::Release, Report, Now));
    return true;
  }

  if (Report.Slowdown >= Config.Low) {
    Suspected.BelowLowSince = Now;
    escalate(State, Suspected, Report, Model, Now, Responses);
    return false;
  }
  if (Suspected.CurrentStage == Stage::Moving ||
      Now - Suspected.BelowLowSince < Config.ReleaseAfter)
    return false;
  double Expected =
      Model.pair(Report.Kind, Suspected.Kind, Report.Band, Now).Excess;
  if (Report.Slowdown + Expected >= Config.High)
    return false;
  Responses.push_back(makeResponse(Suspected, Step::Release, Report, Now));
  return true;
}

void NoiseResponder::escalate(const VmState &State, Suspect &Suspected,
                              const SlowdownReport &Report,
                              const InterferenceModel &Model, TimePoint Now,
                              std::vector<Response> &Responses) {
  if (Report.Slowdown < Config.High)
    return;

  // Suspects are throttled together, so one may have been confirmed because of
  // another; only a task that explains much of the excess itself is moved.
  double OwnExcess =
      Model.pair(Report.Kind, Suspected.Kind, Report.Band, Now).Excess;
  if (OwnExcess < Config.MinShareToMove * (Report.Slowdown - 1))
    return;

  // One move at a time, because the first may be enough.
  bool OtherMoves = std::any_of(State.Suspects.begin(), State.Suspects.end(),
                                [&](const Suspect &Each) {
                                  return Each.Task != Suspected.Task &&
                                         Each.CurrentStage == Stage::Moving;
                                });
  if (Suspected.CurrentStage == Stage::Confirmed && !OtherMoves &&
      Now - Suspected.ActedAt >= Config.MoveAfter) {
    Suspected.CurrentStage = Stage::Moving;
    Suspected.ActedAt = Now;
    Responses.push_back(
        makeResponse(Suspected, Step::CheckpointAndMove, Report, Now));
    return;
  }
  if (Suspected.CurrentStage == Stage::Moving &&
      Now - Suspected.ActedAt >= Config.StopAfter) {
    Suspected.ActedAt = Now;
    Responses.push_back(makeResponse(Suspected, Step::Stop, Report, Now));
  }
}

void NoiseResponder::throttleSuspects(VmState &State,
                                      const SlowdownReport &Report,
                                      const InterferenceModel &Model,
                                      const std::vector<Neighbour> &Neighbours,
                                      TimePoint Now,
                                      std::vector<Response> &Responses) {
  // Another throttle would hide the effect of one that is not yet evaluated.
  bool Unconfirmed = std::any_of(State.Suspects.begin(), State.Suspects.end(),
                                 [](const Suspect &Each) {
                                   return Each.CurrentStage == Stage::Throttled;
                                 });
  if (Unconfirmed)
    return;

  std::vector<Suspect> NewSuspects;
  for (const Neighbour &Each : Neighbours) {
    bool AlreadyTracked =
        std::any_of(State.Suspects.begin(), State.Suspects.end(),
                    [&](const Suspect &S) { return S.Task == Each.Task; }) ||
        std::any_of(State.Exempt.begin(), State.Exempt.end(),
                    [&](const ExemptTask &A) { return A.Task == Each.Task; });
    double Expected =
        Model.pair(Report.Kind, Each.Kind, Report.Band, Now).Excess *
        Each.Presence;
    if (AlreadyTracked || Expected < Config.MinExpected ||
        Expected < Config.MinShare * (Report.Slowdown - 1))
      continue;
    NewSuspects.push_back({Each.Task, Each.Kind, Report.Victim,
                           Stage::Throttled, 0, Report.Slowdown, Expected, 0,
                           Now, Now});
  }
  std::stable_sort(NewSuspects.begin(), NewSuspects.end(),
                   [](const Suspect &A, const Suspect &B) {
                     return A.Expected > B.Expected;
                   });

  double Explained = 0;
  std::size_t Chosen = 0;
  while (Chosen < NewSuspects.size() &&
         Explained < Config.ShareToExplain * (Report.Slowdown - 1))
    Explained += NewSuspects[Chosen++].Expected;
  NewSuspects.resize(Chosen);
  for (Suspect &Each : NewSuspects) {
    Each.JointExpected = Explained;
    Responses.push_back(makeResponse(Each, Step::Throttle, Report, Now));
    State.Suspects.push_back(Each);
  }
}

std::vector<TaskIndex> NoiseResponder::onTaskGone(VmIndex Vm, TaskIndex Task) {
  std::vector<TaskIndex> Released;
  auto Known = VmStates.find(Vm);
  if (Known == VmStates.end())
    return Released;

  VmState &State = Known->second;
  State.SlowReports.erase(Task);
  for (const Suspect &Each : State.Suspects)
    if (Each.Victim == Task && Each.Task != Task)
      Released.push_back(Each.Task);
  std::erase_if(State.Suspects, [&](const Suspect &Each) {
    return Each.Task == Task || Each.Victim == Task;
  });
  std::erase_if(State.Exempt,
                [&](const ExemptTask &Each) { return Each.Task == Task; });

  return Released;
}

} // namespace daisyspool::interference
