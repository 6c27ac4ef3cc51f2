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

/// Thrown when the guaranteed shares add up to more than the fleet.
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

/// The task is within the team's guarantee, so it may evict tasks of teams that
/// are over theirs.
struct WithinGuarantee {
  QuotaReason Why;
};

/// The task runs in the idle share of other teams and may be evicted when they
/// need it.
struct Borrowing {
  QuotaReason Why;
};

/// The team would exceed its guarantee and cannot borrow.
struct QuotaExhausted {
  QuotaReason Why;
};

using QuotaVerdict = std::variant<WithinGuarantee, Borrowing, QuotaExhausted>;

/// The use of a team beyond its guarantee.
struct Overuse {
  TeamIndex Team;
  double Excess = 0;
  /// Use divided by guarantee; the team with the highest ratio returns first.
  double UseRatio = 0;
};

/// Shares of the fleet by team: each team has a guaranteed share, and a team
/// may borrow idle shares of others. Borrowed shares are returned by the teams
/// furthest over their guarantee first.
///
/// A team's share is that of its dominant resource (Ghodsi et al., Dominant
/// Resource Fairness, 2011), weighted by its guarantee. Tasks that can no
/// longer be evicted must fit in the guarantee, so that every borrowed share
/// can be returned. Thread safety: one thread at a time.
class QuotaLedger {
public:
  explicit QuotaLedger(const Resources &Fleet) : Fleet(Fleet) {}

  /// Adds a team with a guarantee of \p PerMille thousandths of the fleet.
  /// Throws SharesExceedFleet.
  TeamIndex addTeam(std::uint32_t PerMille);

  /// Sets the capacity of the fleet that shares refer to.
  void setFleet(const Resources &Capacity) { Fleet = Capacity; }

  /// Whether \p Team may use \p Size more now, from its guarantee or borrowed.
  /// \p Evictable is false for a task that has reached its eviction limit.
  QuotaVerdict ask(TeamIndex Team, const Resources &Size,
                   bool Evictable = true) const;

  /// Records that a task of \p Size started or ended.
  void take(TeamIndex Team, const Resources &Size, bool Evictable = true);
  void giveBack(TeamIndex Team, const Resources &Size, bool Evictable = true);

  /// The waiting team to serve next: the one with the lowest use divided by
  /// guarantee.
  std::optional<TeamIndex> next(std::span<const TeamIndex> Waiting) const;

  /// Teams over their guarantee, the highest use divided by guarantee first.
  std::vector<Overuse> teamsOverGuarantee() const;

  /// Whether a task of \p Team may be evicted for a team within its guarantee,
  /// after the same decision has already evicted tasks that hold \p Taken. A
  /// task that is partly over the guarantee counts as borrowed, as in ask().
  bool mayReclaim(TeamIndex Team, const Resources &Taken) const;

  double usedShare(TeamIndex Team) const;
  double guaranteedShare(TeamIndex Team) const;
  /// Use divided by guarantee.
  double useRatio(TeamIndex Team) const;
  std::size_t teamCount() const { return Teams.size(); }

private:
  struct Account {
    double Guaranteed = 0;
    Resources Used;
    /// The part of Used that cannot be evicted.
    Resources NonEvictable;
  };

  double shareOf(const Resources &Size) const;

  Resources Fleet;
  Resources Used;
  std::vector<Account> Teams;
  std::uint32_t GuaranteedPerMille = 0;
};

} // namespace daisyspool::quota

#endif // DAISYSPOOL_QUOTA_QUOTALEDGER_H
