#include "replay/LineFields.h"

#include "daisyspool/core/Errors.h"

#include <algorithm>
#include <sstream>

namespace daisyspool {

LineFields::LineFields(const std::string &File, int Line,
                       const std::string &Text)
    : File(File), Line(Line),
      Document(nlohmann::json::parse(Text, nullptr, false)) {
  if (!Document.is_object())
    throw SettingsError(File, Line, "line", Text, "one JSON object");
}

bool LineFields::has(const std::string &Field) const {
  return Document.contains(Field);
}

void LineFields::fail(const std::string &Field,
                      const std::string &Allowed) const {
  auto Found = Document.find(Field);
  throw SettingsError(File, Line, Field,
                      Found == Document.end() ? "nothing" : Found->dump(),
                      Allowed);
}

const nlohmann::json &LineFields::required(const std::string &Field,
                                           const std::string &Allowed) {
  Read.insert(Field);
  if (!has(Field))
    fail(Field, Allowed);

  return Document.at(Field);
}

std::string LineFields::text(const std::string &Field) {
  const auto &Value = required(Field, "a text that is not empty");
  if (!Value.is_string() || Value.get_ref<const std::string &>().empty())
    fail(Field, "a text that is not empty");

  return Value.get<std::string>();
}

std::string LineFields::textOr(const std::string &Field, std::string Default) {
  return has(Field) ? text(Field) : std::move(Default);
}

std::int64_t LineFields::integer(const std::string &Field, std::int64_t Least,
                                 std::int64_t Most) {
  std::string Allowed = "an integer from " + std::to_string(Least) + " to " +
                        std::to_string(Most);
  const auto &Value = required(Field, Allowed);
  // A value over the signed range would change its sign when it is read.
  bool Fits =
      Value.is_number_integer() &&
      (!Value.is_number_unsigned() ||
       Value.get<std::uint64_t>() <= static_cast<std::uint64_t>(INT64_MAX));
  if (!Fits || Value.get<std::int64_t>() < Least ||
      Value.get<std::int64_t>() > Most)
    fail(Field, Allowed);

  return Value.get<std::int64_t>();
}

std::int64_t LineFields::integerOr(const std::string &Field,
                                   std::int64_t Default, std::int64_t Least,
                                   std::int64_t Most) {
  return has(Field) ? integer(Field, Least, Most) : Default;
}

double LineFields::number(const std::string &Field) {
  const auto &Value = required(Field, "a number");
  if (!Value.is_number())
    fail(Field, "a number");

  return Value.get<double>();
}

bool LineFields::flagOr(const std::string &Field, bool Default) {
  if (!has(Field))
    return Default;
  const auto &Value = required(Field, "true or false");
  if (!Value.is_boolean())
    fail(Field, "true or false");

  return Value.get<bool>();
}

std::size_t LineFields::choice(const std::string &Field,
                               const std::vector<std::string> &Names) {
  std::string Allowed;
  for (const std::string &Each : Names)
    Allowed += (Allowed.empty() ? "" : ", ") + Each;
  const auto &Value = required(Field, Allowed);
  auto Found = Value.is_string()
                   ? std::find(Names.begin(), Names.end(),
                               Value.get_ref<const std::string &>())
                   : Names.end();
  if (Found == Names.end())
    fail(Field, Allowed);

  return static_cast<std::size_t>(Found - Names.begin());
}

void LineFields::rejectUnread() const {
  for (const auto &Each : Document.items())
    if (Read.count(Each.key()) == 0)
      fail(Each.key(), "no such field");
}

void forEachLine(const std::string &File, const std::string &Text,
                 const std::function<void(LineFields &)> &OnLine) {
  std::istringstream Lines(Text);
  std::string One;
  for (int Number = 1; std::getline(Lines, One); ++Number) {
    if (One.find_first_not_of(" \t\r") == std::string::npos)
      continue;
    LineFields Fields(File, Number, One);
    OnLine(Fields);
    Fields.rejectUnread();
  }
}

} // namespace daisyspool
