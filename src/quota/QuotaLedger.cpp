#include "daisyspool/quota/QuotaLedger.h"

#include <algorithm>
#include <cassert>
#include <string>

namespace daisyspool::quota {

namespace {

constexpr std::uint32_t WholeFleet = 1000;

/// Absorbs the rounding of shares held as floating-point numbers.
constexpr double Tolerance = 1e-9;

double part(std::int64_t Of, std::int64_t Whole) {
  return Whole == 0 ? 0 : static_cast<double>(Of) / static_cast<double>(Whole);
}

} // namespace

TeamIndex QuotaLedger::addTeam(std::uint32_t PerMille) {
  if (GrantedPerMille + PerMille > WholeFleet)
    throw SharesExceedFleet("guaranteed shares add up to " +
                            std::to_string(GrantedPerMille + PerMille) +
                            " thousandths of the fleet");

  GrantedPerMille += PerMille;
  Teams.push_back({static_cast<double>(PerMille) / WholeFleet, {}, {}});
  return TeamIndex(Teams.size() - 1);
}

double QuotaLedger::shareOf(const Resources &Size) const {
  return std::max({part(Size.Cpu.value(), Fleet.Cpu.value()),
                   part(Size.Memory.value(), Fleet.Memory.value()),
                   part(Size.Accelerator.value(), Fleet.Accelerator.value())});
}

double QuotaLedger::usedShare(TeamIndex Team) const {
  return shareOf(Teams[Team.index()].Used);
}

double QuotaLedger::guaranteedShare(TeamIndex Team) const {
  return Teams[Team.index()].Guaranteed;
}

double QuotaLedger::pressure(TeamIndex Team) const {
  // A team without a guarantee is behind every team that has one.
  constexpr double NoGuarantee = 1e-6;
  return usedShare(Team) / std::max(guaranteedShare(Team), NoGuarantee);
}

QuotaVerdict QuotaLedger::ask(TeamIndex Team, const Resources &Size,
                              bool Evictable) const {
  assert(Team.index() < Teams.size());
  const Account &Of = Teams[Team.index()];
  QuotaReason Why{Team, shareOf(Of.Used), shareOf(Of.Used + Size),
                  Of.Guaranteed, shareOf(Used)};

  if (Why.UsedAfter <= Of.Guaranteed + Tolerance)
    return WithinGuarantee{Why};
  if (!Evictable) {
    bool PinnedFits = shareOf(Of.Pinned + Size) <= Of.Guaranteed + Tolerance;
    if (!PinnedFits)
      return QuotaExhausted{Why};
  }
  if (!(Used + Size).fitsIn(Fleet))
    return QuotaExhausted{Why};

  return Borrowing{Why};
}

void QuotaLedger::take(TeamIndex Team, const Resources &Size, bool Evictable) {
  Account &Of = Teams[Team.index()];
  Of.Used = Of.Used + Size;
  Used = Used + Size;
  if (!Evictable)
    Of.Pinned = Of.Pinned + Size;
}

void QuotaLedger::giveBack(TeamIndex Team, const Resources &Size,
                           bool Evictable) {
  Account &Of = Teams[Team.index()];
  assert(Size.fitsIn(Of.Used));
  Of.Used = Of.Used - Size;
  Used = Used - Size;
  if (!Evictable)
    Of.Pinned = Of.Pinned - Size;
}

std::optional<TeamIndex>
QuotaLedger::next(std::span<const TeamIndex> Waiting) const {
  std::optional<TeamIndex> Best;
  for (TeamIndex Each : Waiting)
    if (!Best || pressure(Each) < pressure(*Best))
      Best = Each;

  return Best;
}

std::vector<Debt> QuotaLedger::debts() const {
  std::vector<Debt> Found;
  for (std::size_t I = 0; I < Teams.size(); ++I) {
    TeamIndex Team(I);
    double Excess = usedShare(Team) - guaranteedShare(Team);
    if (Excess > Tolerance)
      Found.push_back({Team, Excess, pressure(Team)});
  }
  std::stable_sort(
      Found.begin(), Found.end(),
      [](const Debt &A, const Debt &B) { return A.Pressure > B.Pressure; });

  return Found;
}

bool QuotaLedger::mayReclaim(TeamIndex Team, const Resources &Taken) const {
  const Account &Of = Teams[Team.index()];
  return shareOf(Of.Used - Taken) > Of.Guaranteed + Tolerance;
}

} // namespace daisyspool::quota
