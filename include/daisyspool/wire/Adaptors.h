#ifndef DAISYSPOOL_WIRE_ADAPTORS_H
#define DAISYSPOOL_WIRE_ADAPTORS_H

#include "daisyspool/core/Clock.h"
#include "daisyspool/core/Ids.h"
#include "daisyspool/core/Units.h"

#include <msgpack.hpp>

#include <cstddef>
#include <string>
#include <tuple>
#include <type_traits>

namespace daisyspool::wire {

/// The highest valid value of an enumeration that is sent in messages, or -1
/// for an enumeration that is not. A received value above it is an error.
template <typename Enum> inline constexpr int LastEnumerator = -1;

template <typename Enum>
concept WireEnum = std::is_enum_v<Enum> && LastEnumerator<Enum>
>= 0;

/// A structure that is encoded as an array of its fields. A function fields()
/// in its namespace returns references to them in order. Use it for structures
/// whose own header must not include MessagePack.
template <typename T>
concept WireFields = requires(T &Value) {
  fields(Value);
};

} // namespace daisyspool::wire

/// MessagePack adaptors for the project's strong types: ids are encoded as
/// strings, numbers and quantities as integers, a Duration as nanoseconds and
/// Millis as milliseconds.
namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS) {
  namespace adaptor {

  template <typename Tag> struct convert<daisyspool::StrongId<Tag>> {
    const msgpack::object &operator()(const msgpack::object &From,
                                      daisyspool::StrongId<Tag> &To) const {
      To = daisyspool::StrongId<Tag>(From.as<std::string>());
      return From;
    }
  };

  template <typename Tag> struct pack<daisyspool::StrongId<Tag>> {
    template <typename Stream>
    msgpack::packer<Stream> &
    operator()(msgpack::packer<Stream> &To,
               const daisyspool::StrongId<Tag> &From) const {
      return To.pack(From.str());
    }
  };

  template <typename Tag> struct convert<daisyspool::StrongNumber<Tag>> {
    const msgpack::object &operator()(const msgpack::object &From,
                                      daisyspool::StrongNumber<Tag> &To) const {
      To = daisyspool::StrongNumber<Tag>(From.as<std::uint64_t>());
      return From;
    }
  };

  template <typename Tag> struct pack<daisyspool::StrongNumber<Tag>> {
    template <typename Stream>
    msgpack::packer<Stream> &
    operator()(msgpack::packer<Stream> &To,
               const daisyspool::StrongNumber<Tag> &From) const {
      return To.pack(From.value());
    }
  };

  template <typename Tag> struct convert<daisyspool::Quantity<Tag>> {
    const msgpack::object &operator()(const msgpack::object &From,
                                      daisyspool::Quantity<Tag> &To) const {
      To = daisyspool::Quantity<Tag>(From.as<std::int64_t>());
      return From;
    }
  };

  template <typename Tag> struct pack<daisyspool::Quantity<Tag>> {
    template <typename Stream>
    msgpack::packer<Stream> &
    operator()(msgpack::packer<Stream> &To,
               const daisyspool::Quantity<Tag> &From) const {
      return To.pack(From.value());
    }
  };

  template <daisyspool::wire::WireEnum Enum> struct convert<Enum> {
    const msgpack::object &operator()(const msgpack::object &From,
                                      Enum &To) const {
      int Value = From.as<int>();
      if (Value < 0 || Value > daisyspool::wire::LastEnumerator<Enum>)
        throw msgpack::type_error();
      To = static_cast<Enum>(Value);
      return From;
    }
  };

  template <daisyspool::wire::WireEnum Enum> struct pack<Enum> {
    template <typename Stream>
    msgpack::packer<Stream> &operator()(msgpack::packer<Stream> &To,
                                        Enum From) const {
      return To.pack(static_cast<int>(From));
    }
  };

  template <daisyspool::wire::WireFields T> struct convert<T> {
    const msgpack::object &operator()(const msgpack::object &From,
                                      T &To) const {
      auto Fields = fields(To);
      constexpr std::size_t Count = std::tuple_size_v<decltype(Fields)>;
      if (From.type != msgpack::type::ARRAY || From.via.array.size != Count)
        throw msgpack::type_error();
      const msgpack::object *Next = From.via.array.ptr;
      std::apply([&Next](auto &...Each) { ((Next++)->convert(Each), ...); },
                 Fields);
      return From;
    }
  };

  template <daisyspool::wire::WireFields T> struct pack<T> {
    template <typename Stream>
    msgpack::packer<Stream> &operator()(msgpack::packer<Stream> &To,
                                        const T &From) const {
      // fields() needs a mutable value, but packing does not modify it.
      auto Fields = fields(const_cast<T &>(From));
      To.pack_array(std::tuple_size_v<decltype(Fields)>);
      std::apply([&To](auto &...Each) { (To.pack(Each), ...); }, Fields);
      return To;
    }
  };

  template <> struct convert<daisyspool::Resources> {
    const msgpack::object &operator()(const msgpack::object &From,
                                      daisyspool::Resources &To) const {
      msgpack::type::define_array<daisyspool::MilliCores, daisyspool::MebiBytes,
                                  daisyspool::Accelerators>
          Fields(To.Cpu, To.Memory, To.Accelerator);
      Fields.msgpack_unpack(From);
      return From;
    }
  };

  template <> struct pack<daisyspool::Resources> {
    template <typename Stream>
    msgpack::packer<Stream> &
    operator()(msgpack::packer<Stream> &To,
               const daisyspool::Resources &From) const {
      return To.pack_array(3)
          .pack(From.Cpu)
          .pack(From.Memory)
          .pack(From.Accelerator);
    }
  };

  template <> struct convert<daisyspool::Duration> {
    const msgpack::object &operator()(const msgpack::object &From,
                                      daisyspool::Duration &To) const {
      To = daisyspool::Duration(From.as<std::int64_t>());
      return From;
    }
  };

  template <> struct pack<daisyspool::Duration> {
    template <typename Stream>
    msgpack::packer<Stream> &
    operator()(msgpack::packer<Stream> &To,
               const daisyspool::Duration &From) const {
      return To.pack(static_cast<std::int64_t>(From.count()));
    }
  };

  template <> struct convert<daisyspool::Millis> {
    const msgpack::object &operator()(const msgpack::object &From,
                                      daisyspool::Millis &To) const {
      To = daisyspool::Millis(From.as<std::int64_t>());
      return From;
    }
  };

  template <> struct pack<daisyspool::Millis> {
    template <typename Stream>
    msgpack::packer<Stream> &operator()(msgpack::packer<Stream> &To,
                                        const daisyspool::Millis &From) const {
      return To.pack(static_cast<std::int64_t>(From.count()));
    }
  };

  } // namespace adaptor
}
} // namespace msgpack

#endif // DAISYSPOOL_WIRE_ADAPTORS_H
