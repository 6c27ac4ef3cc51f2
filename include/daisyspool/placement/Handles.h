#ifndef DAISYSPOOL_PLACEMENT_HANDLES_H
#define DAISYSPOOL_PLACEMENT_HANDLES_H

#include <cassert>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <unordered_map>
#include <vector>

namespace daisyspool::placement {

/// A dense number that stands for a textual id inside one process. The tables
/// of 408,000 tasks hold handles because ids would take several times the
/// memory. Handles are never sent or stored.
template <typename Tag, typename Rep> class Handle {
public:
  constexpr Handle() = default;
  constexpr explicit Handle(std::size_t Index)
      : Index(static_cast<Rep>(Index)) {}

  constexpr std::size_t index() const { return Index; }
  constexpr bool valid() const {
    return Index != std::numeric_limits<Rep>::max();
  }

  constexpr auto operator<=>(const Handle &) const = default;

private:
  Rep Index = std::numeric_limits<Rep>::max();
};

using VmIndex = Handle<struct VmIndexTag, std::uint32_t>;
/// One running attempt of a task; used again after it stopped.
using TaskIndex = Handle<struct TaskIndexTag, std::uint32_t>;
/// Tasks that a spread rule counts together: a service or a job.
using GroupIndex = Handle<struct GroupIndexTag, std::uint32_t>;
/// Tasks that are expected to behave alike.
using KindIndex = Handle<struct KindIndexTag, std::uint16_t>;
using TeamIndex = Handle<struct TeamIndexTag, std::uint16_t>;
using RackIndex = Handle<struct RackIndexTag, std::uint16_t>;
using DomainIndex = Handle<struct DomainIndexTag, std::uint16_t>;

/// Gives each id the next free handle. Thread safety: one thread at a time.
template <typename Id, typename HandleType> class Interner {
public:
  /// The handle of \p Name, which is added if it is new.
  HandleType intern(const Id &Name) {
    auto [At, Added] = Handles.try_emplace(Name, HandleType(Names.size()));
    if (Added)
      Names.push_back(Name);

    return At->second;
  }

  /// Precondition: \p Of came from this interner.
  const Id &name(HandleType Of) const {
    assert(Of.index() < Names.size());
    return Names[Of.index()];
  }

  std::size_t size() const { return Names.size(); }

private:
  std::unordered_map<Id, HandleType> Handles;
  std::vector<Id> Names;
};

} // namespace daisyspool::placement

template <typename Tag, typename Rep>
struct std::hash<daisyspool::placement::Handle<Tag, Rep>> {
  std::size_t
  operator()(daisyspool::placement::Handle<Tag, Rep> Of) const noexcept {
    return std::hash<std::size_t>{}(Of.index());
  }
};

#endif // DAISYSPOOL_PLACEMENT_HANDLES_H
