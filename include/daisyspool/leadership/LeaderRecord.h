#ifndef DAISYSPOOL_LEADERSHIP_LEADERRECORD_H
#define DAISYSPOOL_LEADERSHIP_LEADERRECORD_H

#include "daisyspool/core/Ids.h"
#include "daisyspool/workload/JobDefinition.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace daisyspool::leadership {

/// Who leads: one process for one epoch.
struct LeaderIdentity {
  Epoch Term;
  ProcessId Process;
  Incarnation ProcessIncarnation;

  auto operator<=>(const LeaderIdentity &) const = default;
};

/// The row that every transaction of a leader requires and rewrites, so that
/// neither a former leader nor a late copy of a transaction changes anything.
struct Fence {
  LeaderIdentity Leader;
  /// Number of the leader's transaction.
  std::uint64_t Transaction = 0;

  auto operator<=>(const Fence &) const = default;
};

/// What all entries know of the leader; rewritten at each renewal.
struct LeaderStatus {
  LeaderIdentity Leader;
  /// The leader has stopped; the next may take over at once.
  bool Released = false;
  /// Accepted jobs by queue of which no task has started.
  std::map<workload::QueueId, std::uint32_t> Pending;
};

/// Serialize and parse the two rows. Errors: parsing throws ProtocolError.
std::string encode(const Fence &What);
Fence decodeFence(std::string_view Bytes);
std::string encode(const LeaderStatus &What);
LeaderStatus decodeLeaderStatus(std::string_view Bytes);

} // namespace daisyspool::leadership

#endif // DAISYSPOOL_LEADERSHIP_LEADERRECORD_H
