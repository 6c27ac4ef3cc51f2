#ifndef DAISYSPOOL_WIRE_ADAPTORS_H
#define DAISYSPOOL_WIRE_ADAPTORS_H

#include "daisyspool/core/Clock.h"
#include "daisyspool/core/Ids.h"
#include "daisyspool/core/Units.h"

#include <msgpack.hpp>

#include <string>

/// Lets MSGPACK_DEFINE_ARRAY carry the project's strong types: an id as a
/// string, a number and a quantity as an integer, a duration as nanoseconds.
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

  } // namespace adaptor
}
} // namespace msgpack

#endif // DAISYSPOOL_WIRE_ADAPTORS_H
