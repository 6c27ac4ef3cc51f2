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
  ReadFields.insert(Field);
  if (!has(Field))
    fail(Field, Allowed);

  return Document.at(Field);
}

std::string LineFields::text(const std::string &Field) {
  const auto &Value = required(Field, "a string that is not empty");
  if (!Value.is_string() || Value.get_ref<const std::string &>().empty())
    fail(Field, "a string that is not empty");

  return Value.get<std::string>();
}

std::string LineFields::textOr(const std::string &Field, std::string Default) {
  return has(Field) ? text(Field) : std::move(Default);
}

std::int64_t LineFields::integer(const std::string &Field, std::int64_t Min,
                                 std::int64_t Max) {
  std::string Allowed =
      "an integer from " + std::to_string(Min) + " to " + std::to_string(Max);
  const auto &Value = required(Field, Allowed);
  // An unsigned value above INT64_MAX would become negative when converted.
  bool Fits =
      Value.is_number_integer() &&
      (!Value.is_number_unsigned() ||
       Value.get<std::uint64_t>() <= static_cast<std::uint64_t>(INT64_MAX));
  if (!Fits || Value.get<std::int64_t>() < Min ||
      Value.get<std::int64_t>() > Max)
    fail(Field, Allowed);

  return Value.get<std::int64_t>();
}

std::int64_t LineFields::integerOr(const std::string &Field,
                                   std::int64_t Default, std::int64_t Min,
                                   std::int64_t Max) {
  return has(Field) ? integer(Field, Min, Max) : Default;
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
    if (ReadFields.count(Each.key()) == 0)
      fail(Each.key(), "a known field");
}

void forEachLine(const std::string &File, const std::string &Text,
                 const std::function<void(LineFields &)> &OnLine) {
  std::istringstream Lines(Text);
  std::string LineText;
  for (int Number = 1; std::getline(Lines, LineText); ++Number) {
    if (LineText.find_first_not_of(" \t\r") == std::string::npos)
      continue;
    LineFields Fields(File, Number, LineText);
    OnLine(Fields);
    Fields.rejectUnread();
  }
}

} // namespace daisyspool
