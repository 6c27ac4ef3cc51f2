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

/// A dense index that replaces a textual id inside one process. The tables of
/// 408,000 tasks hold handles because ids would take several times the memory.
/// Handles are never sent or stored.
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
/// One running attempt of a task; reused after the attempt has stopped.
using TaskIndex = Handle<struct TaskIndexTag, std::uint32_t>;
/// Tasks that a spread rule counts together: a service or a job.
using GroupIndex = Handle<struct GroupIndexTag, std::uint32_t>;
/// Tasks that are expected to have the same resource use and interference.
using KindIndex = Handle<struct KindIndexTag, std::uint16_t>;
using TeamIndex = Handle<struct TeamIndexTag, std::uint16_t>;
using RackIndex = Handle<struct RackIndexTag, std::uint16_t>;
using DomainIndex = Handle<struct DomainIndexTag, std::uint16_t>;

/// Gives each id the next free handle. Thread safety: one thread at a time.
template <typename Id, typename HandleType> class Interner {
public:
  /// The handle of \p Name, which is added if it is new.
  HandleType intern(const Id &Name) {
    auto [Entry, Added] = Handles.try_emplace(Name, HandleType(Names.size()));
    if (Added)
      Names.push_back(Name);

    return Entry->second;
  }

  /// Precondition: \p Interned came from this interner.
  const Id &name(HandleType Interned) const {
    assert(Interned.index() < Names.size());
    return Names[Interned.index()];
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
  operator()(daisyspool::placement::Handle<Tag, Rep> Value) const noexcept {
    return std::hash<std::size_t>{}(Value.index());
  }
};

#endif // DAISYSPOOL_PLACEMENT_HANDLES_H
