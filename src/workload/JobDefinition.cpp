#include "daisyspool/workload/JobDefinition.h"

#include "daisyspool/core/Errors.h"

#include <nlohmann/json.hpp>

#include <charconv>

namespace daisyspool::workload {

namespace {

using nlohmann::json;

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

StepDefinition stepFromJson(const json &From) {
  StepDefinition Step;
  Step.Count = From.at(0);
  Step.Needs = {MilliCores(From.at(1)), MebiBytes(From.at(2)),
                Accelerators(From.at(3))};
  Step.Estimate = Millis(From.at(4).get<std::int64_t>());
  Step.After = From.at(5).get<std::vector<std::uint32_t>>();
  Step.RequiredLabel = LabelId(From.at(6));
  Step.PreferredRack = RackId(From.at(7));
  Step.MaxPerVm = From.at(8);
  unsigned Flags = From.at(9);
  Step.Checkpoints = (Flags & FlagCheckpoints) != 0;
  Step.Gang = (Flags & FlagGang) != 0;
  Step.SameRack = (Flags & FlagSameRack) != 0;
  Step.Speculative = (Flags & FlagSpeculative) != 0;
  Step.LongRunning = (Flags & FlagLongRunning) != 0;
  Step.FillsIdleCpu = (Flags & FlagFillsIdleCpu) != 0;
  Step.Image = ImageId(From.at(10));
  Step.TailTarget = Millis(From.at(11).get<std::int64_t>());
  if (!From.at(12).is_null())
    Step.MaxUnavailable = From.at(12).get<std::uint32_t>();

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
    json Root = json::from_msgpack(Bytes.begin(), Bytes.end());
    JobRecord Job;
    Job.Id = JobId(Root.at(0));
    Job.Accepted = WallMillis(Root.at(1).get<std::int64_t>());
    const json &Policy = Root.at(2);
    Job.Policy = {
        QueueId(Policy.at(0)), ServiceId(Policy.at(1)),
        Policy.at(2),          Policy.at(3),
        Policy.at(4),          Millis(Policy.at(5).get<std::int64_t>())};
    Job.Definition.Spec = Root.at(3);
    for (const json &Step : Root.at(4))
      Job.Definition.Steps.push_back(stepFromJson(Step));
    const json &Repeats = Root.at(5);
    Job.Definition.Repeats = {Repeats.at(0),
                              WallMillis(Repeats.at(1).get<std::int64_t>()),
                              Millis(Repeats.at(2).get<std::int64_t>())};
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
