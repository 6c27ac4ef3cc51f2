#ifndef DAISYSPOOL_LEADERSHIP_LEADERRECORD_H
#define DAISYSPOOL_LEADERSHIP_LEADERRECORD_H

#include "daisyspool/core/Ids.h"
#include "daisyspool/core/Units.h"
#include "daisyspool/overload/RoomEstimate.h"
#include "daisyspool/workload/JobDefinition.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace daisyspool::leadership {

/// Identifies a leader: one process in one epoch.
struct LeaderIdentity {
  Epoch Term;
  ProcessId Process;
  Incarnation ProcessIncarnation;

  auto operator<=>(const LeaderIdentity &) const = default;
};

/// The row that every transaction of a leader requires and rewrites, so that
/// neither a former leader nor a late copy of a transaction can change
/// anything.
struct Fence {
  LeaderIdentity Leader;
  /// Number of the leader's latest transaction.
  std::uint64_t Transaction = 0;

  auto operator<=>(const Fence &) const = default;
};

/// The status that a leader publishes to all entries; rewritten at each
/// renewal.
struct LeaderStatus {
  LeaderIdentity Leader;
  /// The leader has stopped; another entry may take over at once.
  bool Released = false;
  /// Number of accepted jobs without a started task, by queue.
  std::map<workload::QueueId, std::uint32_t> Pending;
  /// The leader's share of processors; 0 in the status of an older version.
  MilliCores Processors;
  /// The leader does not keep up; a larger entry should take over.
  bool Overloaded = false;
  /// How long new jobs wait at least; empty while there is room, and in the
  /// status of an older version.
  overload::RoomEstimate Room;
};

/// Serialize and parse the two rows. Errors: parsing throws ProtocolError.
std::string encode(const Fence &Row);
Fence decodeFence(std::string_view Bytes);
std::string encode(const LeaderStatus &Row);
LeaderStatus decodeLeaderStatus(std::string_view Bytes);

} // namespace daisyspool::leadership

#endif // DAISYSPOOL_LEADERSHIP_LEADERRECORD_H
