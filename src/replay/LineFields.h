#ifndef DAISYSPOOL_REPLAY_LINEFIELDS_H
#define DAISYSPOOL_REPLAY_LINEFIELDS_H

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <vector>

namespace daisyspool {

/// Typed and validated access to the fields of one JSON line of a file.
///
/// Every method that reads a field throws SettingsError with the file, the
/// line, the field and the value found. Thread safety: one thread at a time.
class LineFields {
public:
  LineFields(const std::string &File, int Line, const std::string &Text);

  bool has(const std::string &Field) const;
  std::string text(const std::string &Field);
  std::string textOr(const std::string &Field, std::string Default);
  std::int64_t integer(const std::string &Field, std::int64_t Min,
                       std::int64_t Max);
  std::int64_t integerOr(const std::string &Field, std::int64_t Default,
                         std::int64_t Min, std::int64_t Max);
  double number(const std::string &Field);
  bool flagOr(const std::string &Field, bool Default);

  /// The index of the field's value in \p Names.
  std::size_t choice(const std::string &Field,
                     const std::vector<std::string> &Names);

  /// Throws if the line has a field that was not read, such as a misspelt one.
  void rejectUnread() const;

  [[noreturn]] void fail(const std::string &Field,
                         const std::string &Allowed) const;

private:
  const nlohmann::json &required(const std::string &Field,
                                 const std::string &Allowed);

  std::string File;
  int Line;
  nlohmann::json Document;
  std::set<std::string> ReadFields;
};

/// Calls \p OnLine for each line of \p Text that is not empty.
void forEachLine(const std::string &File, const std::string &Text,
                 const std::function<void(LineFields &)> &OnLine);

} // namespace daisyspool

#endif // DAISYSPOOL_REPLAY_LINEFIELDS_H
