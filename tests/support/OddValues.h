// Values that another writer may leave in a row, an announcement or a job.
#ifndef DAISYSPOOL_TESTS_SUPPORT_ODDVALUES_H
#define DAISYSPOOL_TESTS_SUPPORT_ODDVALUES_H

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace daisyspool::testing {

/// JSON text of \p Depth nested arrays.
inline std::string deepJson(std::size_t Depth) {
  return std::string(Depth, '[') + std::string(Depth, ']');
}

/// MessagePack of \p Depth nested arrays; below the store's limit of 64 KiB for
/// a row.
inline std::string deepMsgpack(std::size_t Depth = 60000) {
  return std::string(Depth, '\x91') + '\xc0';
}

/// \p Text with the first \p Old replaced by \p New. Precondition: it has one.
inline std::string replaced(std::string Text, std::string_view Old,
                            std::string_view New) {
  return Text.replace(Text.find(Old), Old.size(), New);
}

/// The MessagePack value \p Bytes with the element at \p Path set to \p Odd.
inline std::string withElement(const std::string &Bytes, const char *Path,
                               const nlohmann::json &Odd) {
  auto Value = nlohmann::json::from_msgpack(Bytes);
  Value.at(nlohmann::json::json_pointer(Path)) = Odd;
  auto Result = nlohmann::json::to_msgpack(Value);
  return {Result.begin(), Result.end()};
}

} // namespace daisyspool::testing

#endif // DAISYSPOOL_TESTS_SUPPORT_ODDVALUES_H
