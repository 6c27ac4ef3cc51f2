#include "daisyspool/scheduling/TailModel.h"

#include "daisyspool/core/Errors.h"
#include "daisyspool/wire/Adaptors.h"

#include <boost/container_hash/hash.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>

namespace daisyspool::scheduling {

namespace {

/// Serving images and filling images beyond it are not learned;
/// keeps what is learned within 40 KB and so within one row of the store.
constexpr std::size_t MaxImages = 48;
/// Assumed of a pair that was never seen: a third of the pairs measured added
/// 0.2 to 0.6, the others nothing.
constexpr double UnknownMean = 0.1;
constexpr double UnknownVariance = 0.1;
/// How fast a known pair becomes uncertain again, a second; effects are stated
/// to change within seconds.
constexpr double VarianceGain = 0.0005;
/// Variance of one report about the sum of its effects: 0.1 measured, and three
/// reports in a row cover much the same time.
constexpr double ReportVariance = 0.3;
/// The lowest fifth of a job's tails lies 0.1 below their mean.
constexpr double UnknownOffset = 0.1;
constexpr double OffsetVariance = 0.02;
/// No report moves a pair as if it were further off; bounds the harm of tails
/// that have another cause.
constexpr double MaxError = 0.7;
/// A pair counts as harmless when its effect is below it and surely known.
constexpr double HarmlessEffect = 0.08;
constexpr double SureVariance = 0.01;
/// Reports that tell a job's present load: two syncs back.
constexpr Millis BaselineAge{1000};
/// VMs without which the lowest tail may be a disturbed one.
constexpr std::size_t LeastBaselineVms = 3;
/// Part of the VMs whose tails make the baseline.
constexpr std::size_t BaselinePart = 5;
/// Part of the difference by which one report moves the usual quotient.
constexpr double UsualRate = 0.05;
/// After it a tail no longer shows the tasks that filled before.
constexpr Millis AfterFilling{1500};
/// A figure covers half a second and arrives with the next sync.
constexpr Millis FigureDelay{900};
/// Load pattern: a worker that turns slow or stands still has tails of many
/// times the target, which no neighbour causes.
constexpr double MaxLearned = 2.5;
/// Share of a filling task's processors below which it hardly works.
constexpr double LeastPresence = 0.05;
constexpr Millis CleanupInterval{10000};

double quotientOf(const Assignment &Run) {
  return static_cast<double>(Run.Load) /
         static_cast<double>(Run.TailTarget.count());
}

double presenceOf(const Assignment &Run) {
  return std::min(1.0, static_cast<double>(Run.Load) /
                           static_cast<double>(Run.Filling.value()));
}

} // namespace

std::map<workload::ImageId, double>
TailModel::presence(const VmState &Vm) const {
  std::map<ImageId, double> Result;
  for (const auto &[Task, Run] : Vm.Assigned)
    if (Run.Filling > MilliCores(0) && presenceOf(Run) > LeastPresence)
      Result[Run.Image] += presenceOf(Run);

  return Result;
}

std::map<JobId, TailModel::JobFigures>
TailModel::figures(const VmState &Vm) const {
  std::map<JobId, JobFigures> Result;
  for (const auto &[Task, Run] : Vm.Assigned) {
    if (Run.TailTarget == Millis(0) || Run.Load <= 0 ||
        quotientOf(Run) > MaxLearned)
      continue;
    JobFigures &Of = Result[Task.Job];
    double Quotient = quotientOf(Run);
    Of.Image = Run.Image;
    Of.Lowest = Of.Count == 0 ? Quotient : std::min(Of.Lowest, Quotient);
    Of.Sum += Quotient;
    ++Of.Count;
  }

  return Result;
}

bool TailModel::isRepeated(const VmState &Vm) {
  // An answer between two listings of the worker carries the same figures.
  std::size_t Digest = 0;
  for (const auto &[Task, Run] : Vm.Assigned)
    boost::hash_combine(Digest, Run.Load);
  std::size_t &Before = Digests[Vm.Id];
  return std::exchange(Before, Digest) == Digest;
}

std::optional<double> TailModel::baseline(const JobId &Job,
                                          TimePoint Now) const {
  auto Found = Reports.find(Job);
  if (Found == Reports.end())
    return std::nullopt;
  std::vector<double> Recent;
  for (const auto &[Vm, Of] : Found->second)
    if (Now - Of.At < BaselineAge)
      Recent.push_back(Of.Quotient);
  if (Recent.size() < LeastBaselineVms)
    return std::nullopt;

  std::sort(Recent.begin(), Recent.end());
  std::size_t Count = std::max<std::size_t>(1, Recent.size() / BaselinePart);
  double Sum = 0;
  for (std::size_t I = 0; I < Count; ++I)
    Sum += Recent[I];
  return Sum / static_cast<double>(Count);
}

void TailModel::observe(const VmState &Vm, TimePoint Now) {
  if (isRepeated(Vm))
    return;

  auto Filling = presence(Vm);
  if (!Filling.empty())
    LastFilled[Vm.Id] = Now;
  auto Filled = LastFilled.find(Vm.Id);
  bool Alone =
      Filled == LastFilled.end() || Now - Filled->second > AfterFilling;
  auto Jobs = figures(Vm);
  for (const auto &[Job, Of] : Jobs)
    Reports[Job][Vm.Id] = {Now, Of.Lowest};
  for (const auto &[Job, Of] : Jobs) {
    if (Services.size() >= MaxImages && !Services.count(Of.Image))
      continue;
    double Mean = Of.Sum / Of.Count;
    auto [Where, New] = Services.try_emplace(Of.Image);
    ServingImage &Service = Where->second;
    if (New) {
      Service.Usual = Mean;
      Service.Offset = {UnknownOffset, OffsetVariance, Now};
    }
    if (Alone)
      Service.Usual += UsualRate * (Mean - Service.Usual);
    if (auto Base = baseline(Job, Now))
      learn(Service, Filling, std::log(Mean / *Base), Now);
    else if (!Filling.empty())
      // The offset of the lowest tails is none of the usual one's.
      learn(Service, Filling,
            std::log(Mean / Service.Usual) + Service.Offset.Mean, Now);
  }
  if (Now - LastCleanup > CleanupInterval)
    forgetOldReports(Now);
}

void TailModel::forgetOldReports(TimePoint Now) {
  LastCleanup = Now;
  for (auto &[Job, ByVm] : Reports)
    std::erase_if(ByVm, [&](const auto &Each) {
      return Now - Each.second.At > CleanupInterval;
    });
  std::erase_if(Reports, [](const auto &Each) { return Each.second.empty(); });
}

TailModel::Effect TailModel::effect(const ServingImage *Service,
                                    const ImageId &Filling,
                                    TimePoint Now) const {
  if (Service) {
    auto Found = Service->Effects.find(Filling);
    if (Found != Service->Effects.end()) {
      Effect Result = Found->second;
      double Age =
          std::chrono::duration<double>(std::max(Now - Result.At, Duration(0)))
              .count();
      Result.Variance =
          std::min(UnknownVariance, Result.Variance + VarianceGain * Age);
      return Result;
    }
  }
  return {UnknownMean, UnknownVariance, Now};
}

void TailModel::learn(ServingImage &Service,
                      const std::map<ImageId, double> &Filling,
                      double LogExcess, TimePoint Now) {
  std::vector<std::pair<Effect *, double>> Parts{{&Service.Offset, 1.0}};
  for (const auto &[Image, Presence] : Filling) {
    if (FillingImages.size() >= MaxImages && !FillingImages.count(Image))
      continue;
    FillingImages.insert(Image);
    Effect Present = effect(&Service, Image, Now);
    Effect &Of = Service.Effects[Image];
    Of = {Present.Mean, Present.Variance, Now};
    Parts.emplace_back(&Of, Presence);
  }

  double Expected = 0;
  double Variance = ReportVariance;
  for (const auto &[Of, Presence] : Parts) {
    Expected += Of->Mean * Presence;
    Variance += Of->Variance * Presence * Presence;
  }
  double Error = std::clamp(LogExcess - Expected, -MaxError, MaxError);
  for (const auto &[Of, Presence] : Parts) {
    double Gain = Of->Variance * Presence / Variance;
    Of->Mean += Gain * Error;
    Of->Variance -= Gain * Presence * Of->Variance;
  }
}

const TailModel::ServingImage *TailModel::serving(const ImageId &Image) const {
  auto Known = Services.find(Image);
  return Known == Services.end() ? nullptr : &Known->second;
}

double TailModel::expectedQuotient(const VmState &Vm, const TaskName &Task,
                                   const Assignment &Run,
                                   const std::map<ImageId, double> &Filling,
                                   TimePoint Now) const {
  const ServingImage *Service = serving(Run.Image);
  double Present = 0;
  for (const auto &[Image, Share] : Filling)
    Present += std::max(0.0, effect(Service, Image, Now).Mean) * Share;
  double Coming = 0;
  for (const auto &[Other, Beside] : Vm.Assigned)
    if (Beside.Filling > MilliCores(0) && Now - Beside.Since < FigureDelay)
      Coming += std::max(0.0, effect(Service, Beside.Image, Now).Mean);

  double Base = baseline(Task.Job, Now)
                    .value_or(Service ? Service->Usual : quotientOf(Run));
  return std::max(quotientOf(Run), Base * std::exp(Present)) * std::exp(Coming);
}

std::vector<ServiceTail> TailModel::presentTails(const VmState &Vm,
                                                 TimePoint Now) const {
  auto Filling = presence(Vm);
  std::vector<ServiceTail> Result;
  for (const auto &[Task, Run] : Vm.Assigned) {
    if (Run.TailTarget == Millis(0))
      continue;
    double Quotient = expectedQuotient(Vm, Task, Run, Filling, Now);
    auto Same = std::find_if(
        Result.begin(), Result.end(),
        [&Image = Run.Image](const auto &Each) { return Each.Image == Image; });
    if (Same == Result.end())
      Result.push_back({Run.Image, Quotient});
    else
      Same->Quotient = std::max(Same->Quotient, Quotient);
  }

  return Result;
}

double TailModel::predict(const std::vector<ServiceTail> &Present,
                          const workload::ImageId &Image, TimePoint Now) const {
  double Worst = 0;
  for (const ServiceTail &Each : Present) {
    double Added = std::max(0.0, effect(serving(Each.Image), Image, Now).Mean);
    Worst = std::max(Worst, Each.Quotient * std::exp(Added));
  }

  return Worst;
}

std::vector<workload::ImageId>
TailModel::harmlessTo(const workload::ImageId &Image, TimePoint Now) const {
  std::vector<ImageId> Result;
  for (const auto &[Serving, Service] : Services) {
    Effect Of = effect(&Service, Image, Now);
    if (Of.Mean < HarmlessEffect && Of.Variance < SureVariance)
      Result.push_back(Serving);
  }

  return Result;
}

std::string TailModel::encode(TimePoint Now) const {
  msgpack::sbuffer Buffer;
  msgpack::packer<msgpack::sbuffer> To(Buffer);
  // Names once and numbers as floats keep the row small.
  std::map<ImageId, std::uint32_t> Names;
  To.pack_array(2);
  To.pack_array(static_cast<std::uint32_t>(FillingImages.size()));
  for (const ImageId &Filling : FillingImages) {
    Names.emplace(Filling, static_cast<std::uint32_t>(Names.size()));
    To.pack(Filling);
  }
  To.pack_array(static_cast<std::uint32_t>(Services.size()));
  for (const auto &[Serving, Service] : Services) {
    To.pack_array(5);
    To.pack(Serving);
    To.pack(static_cast<float>(Service.Usual));
    To.pack(static_cast<float>(Service.Offset.Mean));
    To.pack(static_cast<float>(Service.Offset.Variance));
    To.pack_array(static_cast<std::uint32_t>(Service.Effects.size()));
    for (const auto &[Filling, Of] : Service.Effects) {
      Effect Present = effect(&Service, Filling, Now);
      To.pack_array(3);
      To.pack(Names.at(Filling));
      To.pack(static_cast<float>(Present.Mean));
      To.pack(static_cast<float>(Present.Variance));
    }
  }
  return {Buffer.data(), Buffer.size()};
}

void TailModel::decode(std::string_view Bytes, TimePoint Now) {
  using nlohmann::json;
  try {
    json From = json::from_msgpack(Bytes.begin(), Bytes.end());
    auto Names = From.at(0).get<std::vector<std::string>>();
    for (const json &Each : From.at(1)) {
      ServingImage &Service = Services[ImageId(Each.at(0).get<std::string>())];
      Service.Usual = Each.at(1);
      Service.Offset = {Each.at(2), Each.at(3), Now};
      for (const json &Pair : Each.at(4)) {
        ImageId Filling(Names.at(Pair.at(0).get<std::size_t>()));
        Service.Effects[Filling] = {Pair.at(1), Pair.at(2), Now};
        FillingImages.insert(Filling);
      }
    }
  } catch (const json::exception &Problem) {
    throw ProtocolError(std::string("tail model: ") + Problem.what());
  } catch (const std::out_of_range &) {
    throw ProtocolError("tail model: an image without a name");
  }
}

} // namespace daisyspool::scheduling
