#include "daisyspool/workload/JobDefinition.h"

#include "daisyspool/core/Errors.h"
#include "daisyspool/wire/Document.h"
#include "daisyspool/workload/Limits.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace daisyspool::workload {

namespace {

using nlohmann::json;
using wire::wholeNumber;

enum StepFlag : unsigned {
  FlagCheckpoints = 1,
  FlagGang = 2,
  FlagSameRack = 4,
  FlagSpeculative = 8,
  FlagLongRunning = 16,
  FlagFillsIdleCpu = 32
};

unsigned flagsOf(const StepDefinition &Step) {
  return (Step.Checkpoints ? FlagCheckpoints : 0U) |
         (Step.Gang ? FlagGang : 0U) | (Step.SameRack ? FlagSameRack : 0U) |
         (Step.Speculative ? FlagSpeculative : 0U) |
         (Step.LongRunning ? FlagLongRunning : 0U) |
         (Step.FillsIdleCpu ? FlagFillsIdleCpu : 0U);
}

json toJson(const StepDefinition &Step) {
  return json::array(
      {Step.Count, Step.Needs.Cpu.value(), Step.Needs.Memory.value(),
       Step.Needs.Accelerator.value(), Step.Estimate.count(), Step.After,
       Step.RequiredLabel.str(), Step.PreferredRack.str(), Step.MaxPerVm,
       flagsOf(Step), Step.Image.str(), Step.TailTarget.count(),
       Step.MaxUnavailable ? json(*Step.MaxUnavailable) : json(nullptr)});
}

Millis durationFromJson(const json &From) {
  return Millis(wholeNumber(From, 0, MaxDurationMillis));
}

StepDefinition stepFromJson(const json &From) {
  StepDefinition Step;
  Step.Count = wholeNumber<std::uint32_t>(From.at(0));
  Step.Needs = {MilliCores(wholeNumber(From.at(1), 0, MaxMilliCores)),
                MebiBytes(wholeNumber(From.at(2), 0, MaxMebiBytes)),
                Accelerators(wholeNumber(From.at(3), 0, MaxAccelerators))};
  Step.Estimate = durationFromJson(From.at(4));
  for (const json &Earlier : From.at(5).get_ref<const json::array_t &>())
    Step.After.push_back(wholeNumber<std::uint32_t>(Earlier));
  Step.RequiredLabel = LabelId(From.at(6));
  Step.PreferredRack = RackId(From.at(7));
  Step.MaxPerVm = wholeNumber<std::uint32_t>(From.at(8));
  auto Flags = wholeNumber<unsigned>(From.at(9));
  Step.Checkpoints = (Flags & FlagCheckpoints) != 0;
  Step.Gang = (Flags & FlagGang) != 0;
  Step.SameRack = (Flags & FlagSameRack) != 0;
  Step.Speculative = (Flags & FlagSpeculative) != 0;
  Step.LongRunning = (Flags & FlagLongRunning) != 0;
  Step.FillsIdleCpu = (Flags & FlagFillsIdleCpu) != 0;
  Step.Image = ImageId(From.at(10));
  Step.TailTarget = durationFromJson(From.at(11));
  if (!From.at(12).is_null())
    Step.MaxUnavailable = wholeNumber<std::uint32_t>(From.at(12));

  return Step;
}

std::optional<std::uint32_t> parseNumber(std::string_view Text) {
  std::uint32_t Value = 0;
  auto [End, Failure] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Failure != std::errc{} || End != Text.data() + Text.size())
    return std::nullopt;

  return Value;
}

/// Removes the part after the last dot of \p Text and parses it as a number.
std::optional<std::uint32_t> takeLastNumber(std::string_view &Text) {
  std::size_t Dot = Text.rfind('.');
  if (Dot == std::string_view::npos)
    return std::nullopt;

  auto Number = parseNumber(Text.substr(Dot + 1));
  Text = Text.substr(0, Dot);
  return Number;
}

} // namespace

void validate(const JobDefinition &Job) {
  if (Job.Steps.empty() || Job.Steps.size() > MaxSteps)
    throw ProtocolError("a job must have 1 to 100 steps");

  std::uint64_t Tasks = 0;
  Millis EstimateSum{0};
  for (std::size_t I = 0; I < Job.Steps.size(); ++I) {
    const StepDefinition &Step = Job.Steps[I];
    for (std::uint32_t Earlier : Step.After)
      if (Earlier >= I)
        throw ProtocolError("step " + std::to_string(I) +
                            " depends on a step that is not an earlier one");
    if (Step.Count == 0)
      throw ProtocolError("step " + std::to_string(I) + " has no tasks");
    Tasks += Step.Count;
    EstimateSum += Step.Estimate;
  }
  if (Tasks > MaxTasks)
    throw ProtocolError("a job must have at most 5000 tasks");
  if (Tasks * std::max(1U, Job.Repeats.Times) > MaxTaskOccurrences)
    throw ProtocolError("a job must have at most 100000 tasks in all "
                        "occurrences");
  if (EstimateSum > Millis(MaxDurationMillis))
    throw ProtocolError("the estimates of a job's steps are too long");
}

std::string encodeJob(const JobRecord &Job) {
  json Steps = json::array();
  for (const StepDefinition &Step : Job.Definition.Steps)
    Steps.push_back(toJson(Step));
  const QueuePolicy &Policy = Job.Policy;
  const Repetition &Repeats = Job.Definition.Repeats;
  json Root = json::array(
      {Job.Id.str(), Job.Accepted.count(),
       json::array({Policy.Name.str(), Policy.Service.str(), Policy.Priority,
                    Policy.MaxAttempts, Policy.SlackFactor,
                    Policy.LatencyTarget.count()}),
       Job.Definition.Spec, std::move(Steps),
       json::array(
           {Repeats.Times, Repeats.First.count(), Repeats.Interval.count()})});
  auto Bytes = json::to_msgpack(Root);
  return {Bytes.begin(), Bytes.end()};
}

JobRecord decodeJob(std::string_view Bytes) {
  try {
    json Root = wire::parseMsgpack(Bytes);
    JobRecord Job;
    Job.Id = JobId(Root.at(0));
    Job.Accepted = WallMillis(wholeNumber(Root.at(1), 0, MaxClockMillis));
    const json &Policy = Root.at(2);
    Job.Policy = {QueueId(Policy.at(0)),
                  ServiceId(Policy.at(1)),
                  wholeNumber<int>(Policy.at(2)),
                  wholeNumber<std::uint32_t>(Policy.at(3)),
                  wire::realNumber(Policy.at(4), 0, MaxSlackFactor),
                  durationFromJson(Policy.at(5))};
    Job.Definition.Spec = Root.at(3);
    for (const json &Step : Root.at(4))
      Job.Definition.Steps.push_back(stepFromJson(Step));
    const json &Repeats = Root.at(5);
    Job.Definition.Repeats = {
        wholeNumber<std::uint32_t>(Repeats.at(0)),
        WallMillis(wholeNumber(Repeats.at(1), 0, MaxClockMillis)),
        durationFromJson(Repeats.at(2))};
    validate(Job.Definition);
    return Job;
  } catch (const json::exception &Problem) {
    throw ProtocolError(std::string("stored job: ") + Problem.what());
  }
}

std::string toString(const TaskName &Name) {
  return Name.Job.str() + '.' + std::to_string(Name.Occurrence) + '.' +
         std::to_string(Name.Step) + '.' + std::to_string(Name.Index);
}

std::optional<TaskName> parseTaskName(std::string_view Text) {
  auto Index = takeLastNumber(Text);
  auto Step = takeLastNumber(Text);
  auto Occurrence = takeLastNumber(Text);
  if (!Index || !Step || !Occurrence || Text.empty())
    return std::nullopt;

  return TaskName{JobId(std::string(Text)), *Occurrence, *Step, *Index};
}

} // namespace daisyspool::workload
