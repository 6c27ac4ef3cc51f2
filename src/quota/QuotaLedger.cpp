#include "daisyspool/quota/QuotaLedger.h"

#include <algorithm>
#include <cassert>
#include <string>

namespace daisyspool::quota {

namespace {

constexpr std::uint32_t WholeFleet = 1000;

/// Tolerance for rounding errors of shares, which are floating-point numbers.
constexpr double Tolerance = 1e-9;

double fraction(std::int64_t Amount, std::int64_t Whole) {
  return Whole == 0 ? 0
                    : static_cast<double>(Amount) / static_cast<double>(Whole);
}

} // namespace

TeamIndex QuotaLedger::addTeam(std::uint32_t PerMille) {
  if (GuaranteedPerMille + PerMille > WholeFleet)
    throw SharesExceedFleet("guaranteed shares add up to " +
                            std::to_string(GuaranteedPerMille + PerMille) +
                            " thousandths of the fleet");

  GuaranteedPerMille += PerMille;
  Teams.push_back({static_cast<double>(PerMille) / WholeFleet, {}, {}});
  return TeamIndex(Teams.size() - 1);
}

double QuotaLedger::shareOf(const Resources &Size) const {
  return std::max(
      {fraction(Size.Cpu.value(), Fleet.Cpu.value()),
       fraction(Size.Memory.value(), Fleet.Memory.value()),
       fraction(Size.Accelerator.value(), Fleet.Accelerator.value())});
}

double QuotaLedger::usedShare(TeamIndex Team) const {
  return shareOf(Teams[Team.index()].Used);
}

double QuotaLedger::guaranteedShare(TeamIndex Team) const {
  return Teams[Team.index()].Guaranteed;
}

double QuotaLedger::useRatio(TeamIndex Team) const {
  // Ranks a team without a guarantee behind every team that has one.
  constexpr double MinGuarantee = 1e-6;
  return usedShare(Team) / std::max(guaranteedShare(Team), MinGuarantee);
}

QuotaVerdict QuotaLedger::ask(TeamIndex Team, const Resources &Size,
                              bool Evictable) const {
  assert(Team.index() < Teams.size());
  const Account &Usage = Teams[Team.index()];
  QuotaReason Why{Team, shareOf(Usage.Used), shareOf(Usage.Used + Size),
                  Usage.Guaranteed, shareOf(Used)};

  if (Why.UsedAfter <= Usage.Guaranteed + Tolerance)
    return WithinGuarantee{Why};
  if (!Evictable) {
    bool NonEvictableFits =
        shareOf(Usage.NonEvictable + Size) <= Usage.Guaranteed + Tolerance;
    if (!NonEvictableFits)
      return QuotaExhausted{Why};
  }
  if (!(Used + Size).fitsIn(Fleet))
    return QuotaExhausted{Why};

  return Borrowing{Why};
}

void QuotaLedger::take(TeamIndex Team, const Resources &Size, bool Evictable) {
  Account &Usage = Teams[Team.index()];
  Usage.Used = Usage.Used + Size;
  Used = Used + Size;
  if (!Evictable)
    Usage.NonEvictable = Usage.NonEvictable + Size;
}

void QuotaLedger::giveBack(TeamIndex Team, const Resources &Size,
                           bool Evictable) {
  Account &Usage = Teams[Team.index()];
  assert(Size.fitsIn(Usage.Used));
  Usage.Used = Usage.Used - Size;
  Used = Used - Size;
  if (!Evictable)
    Usage.NonEvictable = Usage.NonEvictable - Size;
}

std::optional<TeamIndex>
QuotaLedger::next(std::span<const TeamIndex> Waiting) const {
  std::optional<TeamIndex> Best;
  for (TeamIndex Each : Waiting)
    if (!Best || useRatio(Each) < useRatio(*Best))
      Best = Each;

  return Best;
}

std::vector<Overuse> QuotaLedger::teamsOverGuarantee() const {
  std::vector<Overuse> Result;
  for (std::size_t I = 0; I < Teams.size(); ++I) {
    TeamIndex Team(I);
    double Excess = usedShare(Team) - guaranteedShare(Team);
    if (Excess > Tolerance)
      Result.push_back({Team, Excess, useRatio(Team)});
  }
  std::stable_sort(Result.begin(), Result.end(),
                   [](const Overuse &A, const Overuse &B) {
                     return A.UseRatio > B.UseRatio;
                   });

  return Result;
}

bool QuotaLedger::mayReclaim(TeamIndex Team, const Resources &Taken) const {
  const Account &Usage = Teams[Team.index()];
  return shareOf(Usage.Used - Taken) > Usage.Guaranteed + Tolerance;
}

} // namespace daisyspool::quota
