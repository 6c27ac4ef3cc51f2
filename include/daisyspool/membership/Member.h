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

/// What a process says about itself. It changes rarely and travels only in
/// updates that announce a change.
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

/// One piece of news about a member, as carried by datagrams.
struct MemberUpdate {
  ProcessId Id;
  MemberState State = MemberState::Alive;
  Incarnation Number;
  /// Incarnation at which the member last changed its info.
  Incarnation InfoNumber;
  /// Absent when the receiver is expected to know it.
  std::optional<MemberInfo> Info;
};

/// Configuration version of a process and the time since an entry confirmed
/// that version with the store, at the origin of the confirmation.
struct ConfigStamp {
  ConfigVersion Version;
  std::optional<Millis> Age;
};

/// One process as its peers know it.
struct Member {
  ProcessId Id;
  MemberState State = MemberState::Alive;
  Incarnation Number;
  Incarnation InfoNumber;
  MemberInfo Info;
  /// Last version heard from the member itself. Not disseminated, because it
  /// changes everywhere with each accepted change.
  ConfigVersion Config;
  /// Time of the last change of State.
  TimePoint Since;

  bool reachable() const {
    return State == MemberState::Alive || State == MemberState::Suspect;
  }
};

} // namespace daisyspool

#endif // DAISYSPOOL_MEMBERSHIP_MEMBER_H
