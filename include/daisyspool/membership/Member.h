#ifndef DAISYSPOOL_MEMBERSHIP_MEMBER_H
#define DAISYSPOOL_MEMBERSHIP_MEMBER_H

#include "daisyspool/core/Clock.h"
#include "daisyspool/core/Ids.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace daisyspool {

enum class MemberRole : std::uint8_t { Entry, Agent };

/// States in ascending precedence at equal incarnation.
enum class MemberState : std::uint8_t { Alive, Suspect, Dead, Left };

const char *toString(MemberState State);
const char *toString(MemberRole Role);

/// UDP address of a member's gossip socket.
struct MemberAddress {
  std::string Host;
  std::uint16_t Port = 0;

  auto operator<=>(const MemberAddress &) const = default;
};

/// Attributes that a process publishes about itself. They change rarely and
/// are sent only in updates that announce a change.
struct MemberInfo {
  MemberRole Role = MemberRole::Agent;
  MemberAddress Address;
  FailureDomainId FailureDomain;
  std::uint16_t LinkPort = 0;
  ServiceId Service;
  VmId Vm;
  bool Draining = false;

  bool operator==(const MemberInfo &) const = default;
};

/// The state of one member as carried by datagrams.
struct MemberUpdate {
  ProcessId Id;
  MemberState State = MemberState::Alive;
  Incarnation Number;
  /// Incarnation at which the member last changed its info.
  Incarnation InfoNumber;
  /// Absent when the receiver is expected to have it.
  std::optional<MemberInfo> Info;
};

/// Configuration version of a process and the age of its confirmation: the
/// time since an entry last read that version from the store.
struct ConfigStamp {
  ConfigVersion Version;
  std::optional<Millis> Age;
};

/// A process's record in the membership table.
struct Member {
  ProcessId Id;
  MemberState State = MemberState::Alive;
  Incarnation Number;
  Incarnation InfoNumber;
  MemberInfo Info;
  /// Last configuration version received from the member itself. It is not
  /// disseminated, because each accepted change alters it on every member.
  ConfigVersion Config;
  /// Time at which State last changed.
  TimePoint Since;

  /// Whether the member is Alive or Suspect.
  bool reachable() const {
    return State == MemberState::Alive || State == MemberState::Suspect;
  }
};

} // namespace daisyspool

#endif // DAISYSPOOL_MEMBERSHIP_MEMBER_H
