#include "daisyspool/scheduling/TailModel.h"

#include "daisyspool/core/Errors.h"
#include "daisyspool/wire/Adaptors.h"
#include "daisyspool/wire/Document.h"

#include <boost/container_hash/hash.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>

namespace daisyspool::scheduling {

namespace {

/// Limit of serving images and of best-effort images; further ones are not
/// learned. Keeps the encoded model within 40 KB, so that it fits in one row of
/// the store.
constexpr std::size_t MaxImages = 48;
/// Prior of a pair that was never observed: a third of the measured pairs added
/// 0.2 to 0.6, the others nothing.
constexpr double PriorMean = 0.1;
constexpr double PriorVariance = 0.1;
/// Growth of a known pair's variance; effects are specified to change within
/// seconds.
constexpr double VarianceGrowthPerSecond = 0.0005;
/// Variance of one report around the sum of its effects: 0.1 as measured, times
/// three because three consecutive reports cover much the same time.
constexpr double ObservationVariance = 0.3;
/// Prior of a service's offset: the lowest fifth of a job's tails lies 0.1
/// below their mean.
constexpr double PriorOffset = 0.1;
constexpr double PriorOffsetVariance = 0.02;
/// Prediction errors are clamped to this, which limits the influence of tails
/// that have another cause.
constexpr double MaxInnovation = 0.7;
/// A pair counts as harmless if its mean effect and its variance are below
/// these limits.
constexpr double MaxHarmlessEffect = 0.08;
constexpr double MaxHarmlessVariance = 0.01;
/// Reports older than two syncs no longer represent a job's current load.
constexpr Millis MaxBaselineAge{1000};
/// With fewer VMs even the lowest tail may be affected by interference.
constexpr std::size_t MinBaselineVms = 3;
/// The baseline is the mean of the lowest 1/BaselineDivisor of the VMs' tails.
constexpr std::size_t BaselineDivisor = 5;
/// Smoothing factor of the typical ratio for each report.
constexpr double TypicalRatioGain = 0.05;
/// Time after which a tail no longer reflects earlier best-effort tasks.
constexpr Millis BestEffortDecay{1500};
/// Time until a new task shows in the reports: a load value covers half a
/// second and arrives with the next sync.
constexpr Millis ReportDelay{900};
/// Tails above this ratio are ignored. Load pattern: a slow or stalled worker
/// has tails of many times the target, which no best-effort task causes.
constexpr double MaxLearnedRatio = 2.5;
/// A best-effort task that uses less than this share of its processors counts
/// as inactive.
constexpr double MinActivity = 0.05;
constexpr Millis CleanupInterval{10000};
/// Limits of a stored model. Its ratios are at most MaxLearnedRatio, its means
/// logarithms of such ratios, its variances at most the prior ones.
constexpr double MaxStoredRatio = 100;
constexpr double MaxStoredMean = 10;
constexpr double MaxStoredVariance = 1;

double meanFromJson(const nlohmann::json &From) {
  return wire::realNumber(From, -MaxStoredMean, MaxStoredMean);
}

double varianceFromJson(const nlohmann::json &From) {
  return wire::realNumber(From, 0, MaxStoredVariance);
}

double tailRatio(const Assignment &Run) {
  return static_cast<double>(Run.Load) /
         static_cast<double>(Run.TailTarget.count());
}

double activityOf(const Assignment &Run) {
  return std::min(1.0, static_cast<double>(Run.Load) /
                           static_cast<double>(Run.BestEffortCpu.value()));
}

} // namespace

std::map<workload::ImageId, double>
TailModel::bestEffortActivity(const VmState &Vm) const {
  std::map<ImageId, double> Result;
  for (const auto &[Task, Run] : Vm.Assigned)
    if (Run.BestEffortCpu > MilliCores(0) && activityOf(Run) > MinActivity)
      Result[Run.Image] += activityOf(Run);

  return Result;
}

std::map<JobId, TailModel::JobTails>
TailModel::jobTails(const VmState &Vm) const {
  std::map<JobId, JobTails> Result;
  for (const auto &[Task, Run] : Vm.Assigned) {
    if (Run.TailTarget == Millis(0) || Run.Load <= 0 ||
        tailRatio(Run) > MaxLearnedRatio)
      continue;
    JobTails &Tails = Result[Task.Job];
    double Ratio = tailRatio(Run);
    Tails.Image = Run.Image;
    Tails.LowestRatio =
        Tails.Count == 0 ? Ratio : std::min(Tails.LowestRatio, Ratio);
    Tails.RatioSum += Ratio;
    ++Tails.Count;
  }

  return Result;
}

bool TailModel::isDuplicateReport(const VmState &Vm) {
  // A reply between two reports of the worker repeats the same loads.
  std::size_t Digest = 0;
  for (const auto &[Task, Run] : Vm.Assigned)
    boost::hash_combine(Digest, Run.Load);
  std::size_t &Previous = LoadDigests[Vm.Id];
  return std::exchange(Previous, Digest) == Digest;
}

std::optional<double> TailModel::baseline(const JobId &Job,
                                          TimePoint Now) const {
  auto Found = Reports.find(Job);
  if (Found == Reports.end())
    return std::nullopt;
  std::vector<double> Recent;
  for (const auto &[Vm, Newest] : Found->second)
    if (Now - Newest.ReceivedAt < MaxBaselineAge)
      Recent.push_back(Newest.Ratio);
  if (Recent.size() < MinBaselineVms)
    return std::nullopt;

  std::sort(Recent.begin(), Recent.end());
  std::size_t Count = std::max<std::size_t>(1, Recent.size() / BaselineDivisor);
  double Sum = 0;
  for (std::size_t I = 0; I < Count; ++I)
    Sum += Recent[I];
  return Sum / static_cast<double>(Count);
}

void TailModel::observe(const VmState &Vm, TimePoint Now) {
  if (isDuplicateReport(Vm))
    return;

  auto ActivityByImage = bestEffortActivity(Vm);
  if (!ActivityByImage.empty())
    LastBestEffortAt[Vm.Id] = Now;
  auto LastActive = LastBestEffortAt.find(Vm.Id);
  bool Undisturbed = LastActive == LastBestEffortAt.end() ||
                     Now - LastActive->second > BestEffortDecay;
  auto Jobs = jobTails(Vm);
  for (const auto &[Job, Tails] : Jobs)
    Reports[Job][Vm.Id] = {Now, Tails.LowestRatio};
  for (const auto &[Job, Tails] : Jobs) {
    if (Services.size() >= MaxImages && !Services.count(Tails.Image))
      continue;
    double Mean = Tails.RatioSum / Tails.Count;
    auto [Entry, Inserted] = Services.try_emplace(Tails.Image);
    ServingImage &Service = Entry->second;
    if (Inserted) {
      Service.TypicalRatio = Mean;
      Service.Offset = {PriorOffset, PriorOffsetVariance, Now};
    }
    if (Undisturbed)
      Service.TypicalRatio += TypicalRatioGain * (Mean - Service.TypicalRatio);
    if (auto Base = baseline(Job, Now))
      updateEffects(Service, ActivityByImage, std::log(Mean / *Base), Now);
    else if (!ActivityByImage.empty())
      // The typical ratio is a mean, so the offset from the lowest tails, which
      // updateEffects() subtracts, is added first.
      updateEffects(Service, ActivityByImage,
                    std::log(Mean / Service.TypicalRatio) + Service.Offset.Mean,
                    Now);
  }
  if (Now - LastCleanup > CleanupInterval)
    removeOldReports(Now);
}

void TailModel::removeOldReports(TimePoint Now) {
  LastCleanup = Now;
  for (auto &[Job, ByVm] : Reports)
    std::erase_if(ByVm, [&](const auto &Each) {
      return Now - Each.second.ReceivedAt > CleanupInterval;
    });
  std::erase_if(Reports, [](const auto &Each) { return Each.second.empty(); });
}

TailModel::Effect TailModel::currentEffect(const ServingImage *Service,
                                           const ImageId &BestEffortImage,
                                           TimePoint Now) const {
  if (Service) {
    auto Found = Service->Effects.find(BestEffortImage);
    if (Found != Service->Effects.end()) {
      Effect Result = Found->second;
      double Age = std::chrono::duration<double>(
                       std::max(Now - Result.UpdatedAt, Duration(0)))
                       .count();
      Result.Variance = std::min(
          PriorVariance, Result.Variance + VarianceGrowthPerSecond * Age);
      return Result;
    }
  }
  return {PriorMean, PriorVariance, Now};
}

void TailModel::updateEffects(ServingImage &Service,
                              const std::map<ImageId, double> &ActivityByImage,
                              double LogExcess, TimePoint Now) {
  std::vector<std::pair<Effect *, double>> WeightedEffects{
      {&Service.Offset, 1.0}};
  for (const auto &[Image, Activity] : ActivityByImage) {
    if (BestEffortImages.size() >= MaxImages && !BestEffortImages.count(Image))
      continue;
    BestEffortImages.insert(Image);
    Effect Current = currentEffect(&Service, Image, Now);
    Effect &Stored = Service.Effects[Image];
    Stored = {Current.Mean, Current.Variance, Now};
    WeightedEffects.emplace_back(&Stored, Activity);
  }

  double Expected = 0;
  double Variance = ObservationVariance;
  for (const auto &[Term, Activity] : WeightedEffects) {
    Expected += Term->Mean * Activity;
    Variance += Term->Variance * Activity * Activity;
  }
  double Error =
      std::clamp(LogExcess - Expected, -MaxInnovation, MaxInnovation);
  for (const auto &[Term, Activity] : WeightedEffects) {
    double Gain = Term->Variance * Activity / Variance;
    Term->Mean += Gain * Error;
    Term->Variance -= Gain * Activity * Term->Variance;
  }
}

const TailModel::ServingImage *
TailModel::findService(const ImageId &Image) const {
  auto Found = Services.find(Image);
  return Found == Services.end() ? nullptr : &Found->second;
}

double TailModel::expectedRatio(
    const VmState &Vm, const TaskName &Task, const Assignment &Run,
    const std::map<ImageId, double> &ActivityByImage, TimePoint Now) const {
  const ServingImage *Service = findService(Run.Image);
  double CurrentEffect = 0;
  for (const auto &[Image, Activity] : ActivityByImage)
    CurrentEffect +=
        std::max(0.0, currentEffect(Service, Image, Now).Mean) * Activity;
  double PendingEffect = 0;
  for (const auto &[OtherTask, Other] : Vm.Assigned)
    if (Other.BestEffortCpu > MilliCores(0) &&
        Now - Other.AssignedAt < ReportDelay)
      PendingEffect +=
          std::max(0.0, currentEffect(Service, Other.Image, Now).Mean);

  double Base = baseline(Task.Job, Now)
                    .value_or(Service ? Service->TypicalRatio : tailRatio(Run));
  return std::max(tailRatio(Run), Base * std::exp(CurrentEffect)) *
         std::exp(PendingEffect);
}

std::vector<ServiceTail> TailModel::currentTails(const VmState &Vm,
                                                 TimePoint Now) const {
  auto ActivityByImage = bestEffortActivity(Vm);
  std::vector<ServiceTail> Result;
  for (const auto &[Task, Run] : Vm.Assigned) {
    if (Run.TailTarget == Millis(0))
      continue;
    double Ratio = expectedRatio(Vm, Task, Run, ActivityByImage, Now);
    auto Same = std::find_if(
        Result.begin(), Result.end(),
        [&Image = Run.Image](const auto &Each) { return Each.Image == Image; });
    if (Same == Result.end())
      Result.push_back({Run.Image, Ratio});
    else
      Same->Ratio = std::max(Same->Ratio, Ratio);
  }

  return Result;
}

double TailModel::predict(const std::vector<ServiceTail> &Current,
                          const workload::ImageId &Image, TimePoint Now) const {
  double Highest = 0;
  for (const ServiceTail &Each : Current) {
    double Added =
        std::max(0.0, currentEffect(findService(Each.Image), Image, Now).Mean);
    Highest = std::max(Highest, Each.Ratio * std::exp(Added));
  }

  return Highest;
}

std::vector<workload::ImageId>
TailModel::unaffectedImages(const workload::ImageId &Image,
                            TimePoint Now) const {
  std::vector<ImageId> Result;
  for (const auto &[Serving, Service] : Services) {
    Effect Current = currentEffect(&Service, Image, Now);
    if (Current.Mean < MaxHarmlessEffect &&
        Current.Variance < MaxHarmlessVariance)
      Result.push_back(Serving);
  }

  return Result;
}

std::string TailModel::encode(TimePoint Now) const {
  msgpack::sbuffer Buffer;
  msgpack::packer<msgpack::sbuffer> To(Buffer);
  // Each name is written once and numbers as floats, to keep the row small.
  std::map<ImageId, std::uint32_t> ImageIndex;
  To.pack_array(2);
  To.pack_array(static_cast<std::uint32_t>(BestEffortImages.size()));
  for (const ImageId &Image : BestEffortImages) {
    ImageIndex.emplace(Image, static_cast<std::uint32_t>(ImageIndex.size()));
    To.pack(Image);
  }
  To.pack_array(static_cast<std::uint32_t>(Services.size()));
  for (const auto &[Serving, Service] : Services) {
    To.pack_array(5);
    To.pack(Serving);
    To.pack(static_cast<float>(Service.TypicalRatio));
    To.pack(static_cast<float>(Service.Offset.Mean));
    To.pack(static_cast<float>(Service.Offset.Variance));
    To.pack_array(static_cast<std::uint32_t>(Service.Effects.size()));
    for (const auto &[Image, Stored] : Service.Effects) {
      Effect Current = currentEffect(&Service, Image, Now);
      To.pack_array(3);
      To.pack(ImageIndex.at(Image));
      To.pack(static_cast<float>(Current.Mean));
      To.pack(static_cast<float>(Current.Variance));
    }
  }
  return {Buffer.data(), Buffer.size()};
}

void TailModel::decode(std::string_view Bytes, TimePoint Now) {
  using nlohmann::json;
  try {
    json From = wire::parseMsgpack(Bytes);
    auto Names = From.at(0).get<std::vector<std::string>>();
    // The model is unchanged if this throws.
    auto DecodedServices = Services;
    auto DecodedImages = BestEffortImages;
    for (const json &Each : From.at(1)) {
      ServingImage &Service =
          DecodedServices[ImageId(Each.at(0).get<std::string>())];
      Service.TypicalRatio = wire::realNumber(Each.at(1), 0, MaxStoredRatio);
      Service.Offset = {meanFromJson(Each.at(2)), varianceFromJson(Each.at(3)),
                        Now};
      for (const json &Pair : Each.at(4)) {
        ImageId Image(Names.at(wire::wholeNumber<std::size_t>(Pair.at(0))));
        Service.Effects[Image] = {meanFromJson(Pair.at(1)),
                                  varianceFromJson(Pair.at(2)), Now};
        DecodedImages.insert(Image);
      }
    }
    if (DecodedServices.size() > MaxImages || DecodedImages.size() > MaxImages)
      throw ProtocolError("tail model: too many images");
    Services = std::move(DecodedServices);
    BestEffortImages = std::move(DecodedImages);
  } catch (const json::exception &Problem) {
    throw ProtocolError(std::string("tail model: ") + Problem.what());
  } catch (const std::out_of_range &) {
    throw ProtocolError("tail model: image index out of range");
  }
}

} // namespace daisyspool::scheduling
