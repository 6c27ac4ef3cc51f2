#ifndef DAISYSPOOL_REPLAY_LINEFIELDS_H
#define DAISYSPOOL_REPLAY_LINEFIELDS_H

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <vector>

namespace daisyspool {

/// The fields of one JSON line of a file, with checks.
///
/// Every method throws SettingsError with the file, the line, the field and
/// what was found. Thread safety: one thread at a time.
class LineFields {
public:
  LineFields(const std::string &File, int Line, const std::string &Text);

  bool has(const std::string &Field) const;
  std::string text(const std::string &Field);
  std::string textOr(const std::string &Field, std::string Default);
  std::int64_t integer(const std::string &Field, std::int64_t Least,
                       std::int64_t Most);
  std::int64_t integerOr(const std::string &Field, std::int64_t Default,
                         std::int64_t Least, std::int64_t Most);
  double number(const std::string &Field);
  bool flagOr(const std::string &Field, bool Default);

  /// The index in \p Names of the field's text.
  std::size_t choice(const std::string &Field,
                     const std::vector<std::string> &Names);

  /// Rejects fields that were never asked for, such as misspelt ones.
  void rejectUnread() const;

  [[noreturn]] void fail(const std::string &Field,
                         const std::string &Allowed) const;

private:
  const nlohmann::json &required(const std::string &Field,
                                 const std::string &Allowed);

  std::string File;
  int Line;
  nlohmann::json Document;
  std::set<std::string> Read;
};

/// Calls \p OnLine for each line of \p Text that is not empty.
void forEachLine(const std::string &File, const std::string &Text,
                 const std::function<void(LineFields &)> &OnLine);

} // namespace daisyspool

#endif // DAISYSPOOL_REPLAY_LINEFIELDS_H
