#include "daisyspool/scheduling/TailModel.h"

#include "daisyspool/core/Errors.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace daisyspool::scheduling {

namespace {

using interference::LoadBand;
using workload::ImageId;

/// Reports do not tell a service's own load, so all are of one band.
constexpr LoadBand OneBand = LoadBand::Low;
/// Kinds beyond it are not learned; bounds the table to 100 KB.
constexpr std::size_t MaxImages = 48;
/// Assumed of a pair that was hardly seen, in quotients of the target.
constexpr double UnknownExcess = 0.12;
/// Reports after which a pair counts as known.
constexpr double KnownWeight = 4;
/// A task is called harmless to a service only after more reports.
constexpr double SureWeight = 15;
constexpr double HarmlessExcess = 0.05;
/// Part of the difference by which one report moves the usual quotient.
constexpr double AloneRate = 0.05;
/// A figure covers half a second and arrives with the next sync.
constexpr Millis FigureDelay{900};
/// Quotients beyond it are not taken as the neighbours' doing.
constexpr double MaxLearned = 2.5;
/// Share of a filling task's processors below which it hardly works.
constexpr double LeastPresence = 0.05;

} // namespace

TailModel::TailModel()
    : Pairs(interference::InterferenceModel::Options{MaxImages, 0.5, 0.1,
                                                     Millis(900000)}) {}

TailModel::Kind TailModel::kindOf(const workload::ImageId &Image) {
  auto Next = static_cast<std::uint32_t>(Kinds.size());
  return Kinds.try_emplace(Image, Kind(Next)).first->second;
}

void TailModel::observe(const VmState &Vm, TimePoint Now) {
  std::vector<interference::Neighbour> Filling;
  for (const auto &[Task, Run] : Vm.Assigned) {
    if (Run.Filling <= MilliCores(0))
      continue;
    double Presence =
        std::min(1.0, static_cast<double>(Run.Load) /
                          static_cast<double>(Run.Filling.value()));
    if (Presence > LeastPresence)
      Filling.push_back({{}, kindOf(Run.Image), Presence, true});
  }
  for (const auto &[Task, Run] : Vm.Assigned) {
    if (Run.TailTarget == Millis(0) || Run.Load <= 0)
      continue;
    double Quotient = static_cast<double>(Run.Load) /
                      static_cast<double>(Run.TailTarget.count());
    // Load pattern: a worker that turns slow or stands still has tails of many
    // times the target, which no neighbour causes.
    if (Quotient > MaxLearned)
      continue;
    Kind Serving = kindOf(Run.Image);
    auto [Usual, New] = Alone.try_emplace(Run.Image, Quotient);
    if (Filling.empty())
      Usual->second += AloneRate * (Quotient - Usual->second);
    else
      Pairs.observe(Serving, OneBand, Filling,
                    1 + std::max(0.0, Quotient - Usual->second), Now);
  }
}

double TailModel::excess(const workload::ImageId &Serving,
                         const workload::ImageId &Filling,
                         TimePoint Now) const {
  auto S = Kinds.find(Serving);
  auto F = Kinds.find(Filling);
  if (S == Kinds.end() || F == Kinds.end())
    return UnknownExcess;

  auto Pair = Pairs.pair(S->second, F->second, OneBand, Now);
  double Known = std::min(1.0, Pair.Weight / KnownWeight);
  return Known * Pair.Excess + (1 - Known) * UnknownExcess;
}

double TailModel::predict(const VmState &Vm, const workload::ImageId &Image,
                          TimePoint Now) const {
  double Worst = 0;
  for (const auto &[Task, Run] : Vm.Assigned) {
    if (Run.TailTarget == Millis(0))
      continue;
    double Quotient = static_cast<double>(Run.Load) /
                      static_cast<double>(Run.TailTarget.count());
    auto Usual = Alone.find(Run.Image);
    if (Usual != Alone.end())
      Quotient = std::max(Quotient, Usual->second);
    Quotient += excess(Run.Image, Image, Now);
    for (const auto &[Other, Beside] : Vm.Assigned)
      if (Beside.Filling > MilliCores(0) && Now - Beside.Since < FigureDelay)
        Quotient += excess(Run.Image, Beside.Image, Now);
    Worst = std::max(Worst, Quotient);
  }

  return Worst;
}

std::vector<workload::ImageId>
TailModel::harmlessTo(const workload::ImageId &Image, TimePoint Now) const {
  std::vector<workload::ImageId> Result;
  auto Filling = Kinds.find(Image);
  if (Filling == Kinds.end())
    return Result;

  for (const auto &[Serving, Usual] : Alone) {
    auto Pair = Pairs.pair(Kinds.at(Serving), Filling->second, OneBand, Now);
    if (Pair.Weight >= SureWeight && Pair.Excess < HarmlessExcess)
      Result.push_back(Serving);
  }
  return Result;
}

std::string TailModel::encode(TimePoint Now) const {
  using nlohmann::json;
  json Usual = json::array();
  json Learned = json::array();
  for (const auto &[Serving, Quotient] : Alone) {
    Usual.push_back(json::array({Serving.str(), Quotient}));
    for (const auto &[Filling, Kind] : Kinds) {
      auto Pair = Pairs.pair(Kinds.at(Serving), Kind, OneBand, Now);
      if (Pair.Weight > 0)
        Learned.push_back(json::array(
            {Serving.str(), Filling.str(), Pair.Excess, Pair.Weight}));
    }
  }
  auto Bytes =
      json::to_msgpack(json::array({std::move(Usual), std::move(Learned)}));
  return {Bytes.begin(), Bytes.end()};
}

void TailModel::decode(std::string_view Bytes, TimePoint Now) {
  using nlohmann::json;
  try {
    json From = json::from_msgpack(Bytes.begin(), Bytes.end());
    for (const json &Each : From.at(0)) {
      ImageId Serving(Each.at(0).get<std::string>());
      kindOf(Serving);
      Alone[Serving] = Each.at(1);
    }
    for (const json &Each : From.at(1))
      Pairs.restore(kindOf(ImageId(Each.at(0).get<std::string>())),
                    kindOf(ImageId(Each.at(1).get<std::string>())), OneBand,
                    {Each.at(2), Each.at(3)}, Now);
  } catch (const json::exception &Problem) {
    throw ProtocolError(std::string("tail model: ") + Problem.what());
  }
}

} // namespace daisyspool::scheduling
