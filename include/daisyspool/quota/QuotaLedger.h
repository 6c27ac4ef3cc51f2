#ifndef DAISYSPOOL_QUOTA_QUOTALEDGER_H
#define DAISYSPOOL_QUOTA_QUOTALEDGER_H

#include "daisyspool/core/Errors.h"
#include "daisyspool/core/Units.h"
#include "daisyspool/placement/Handles.h"

#include <cstdint>
#include <optional>
#include <span>
#include <variant>
#include <vector>

namespace daisyspool::quota {

using placement::TeamIndex;

/// Guaranteed shares that add up to more than the fleet.
class SharesExceedFleet : public Error {
  using Error::Error;
};

/// The inputs of a quota decision. Shares are those of the team's dominant
/// resource, as parts of the fleet.
struct QuotaReason {
  TeamIndex Team;
  double Used = 0;
  double UsedAfter = 0;
  double Guaranteed = 0;
  double FleetUsed = 0;
};

/// The task is within the team's guarantee: it may displace borrowers.
struct WithinGuarantee {
  QuotaReason Why;
};

/// The task runs in idle share of others and is evicted when they return.
struct Borrowing {
  QuotaReason Why;
};

/// The team is beyond its guarantee and nothing can be borrowed.
struct QuotaExhausted {
  QuotaReason Why;
};

using QuotaVerdict = std::variant<WithinGuarantee, Borrowing, QuotaExhausted>;

/// What a team uses beyond its guarantee.
struct Debt {
  TeamIndex Team;
  double Excess = 0;
  /// Use divided by guarantee; the highest returns first.
  double Pressure = 0;
};

/// Shares of the fleet by team: each has a guarantee, idle shares are lent, and
/// lent shares are returned by those furthest beyond their guarantee.
///
/// A team's share is that of its dominant resource (Ghodsi et al., Dominant
/// Resource Fairness, 2011), weighted by its guarantee. Tasks that may not be
/// evicted any more count only against the guarantee, so that everything that
/// is lent can be returned. Thread safety: one thread at a time.
class QuotaLedger {
public:
  explicit QuotaLedger(const Resources &Fleet) : Fleet(Fleet) {}

  /// Adds a team with a guarantee of \p PerMille thousandths of the fleet.
  /// Throws SharesExceedFleet.
  TeamIndex addTeam(std::uint32_t PerMille);

  /// The capacity of the fleet that shares refer to.
  void setFleet(const Resources &Capacity) { Fleet = Capacity; }

  /// Whether \p Team may take \p Size now, and on which terms. \p Evictable
  /// is false for a task that was evicted as often as is allowed.
  QuotaVerdict ask(TeamIndex Team, const Resources &Size,
                   bool Evictable = true) const;

  /// Records that a task of \p Size started or ended.
  void take(TeamIndex Team, const Resources &Size, bool Evictable = true);
  void giveBack(TeamIndex Team, const Resources &Size, bool Evictable = true);

  /// The waiting team that is served next: the lowest use for its guarantee.
  std::optional<TeamIndex> next(std::span<const TeamIndex> Waiting) const;

  /// Teams beyond their guarantee, furthest beyond first.
  std::vector<Debt> debts() const;

  /// Whether a task of \p Team may be evicted for a team within its guarantee,
  /// after \p Taken was taken from it by the same decision. A task that is
  /// partly beyond the guarantee counts as borrowed, as it does in ask().
  bool mayReclaim(TeamIndex Team, const Resources &Taken) const;

  double usedShare(TeamIndex Team) const;
  double guaranteedShare(TeamIndex Team) const;
  /// Use divided by guarantee.
  double pressure(TeamIndex Team) const;
  std::size_t teamCount() const { return Teams.size(); }

private:
  struct Account {
    double Guaranteed = 0;
    Resources Used;
    Resources Pinned;
  };

  double shareOf(const Resources &Size) const;

  Resources Fleet;
  Resources Used;
  std::vector<Account> Teams;
  std::uint32_t GrantedPerMille = 0;
};

} // namespace daisyspool::quota

#endif // DAISYSPOOL_QUOTA_QUOTALEDGER_H
