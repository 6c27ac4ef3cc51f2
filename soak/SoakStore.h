// The platform's store over HTTP, as its pages describe it, with the rows of
// tests/fleet/VirtualStore.h and faults that the soak switches.
#ifndef DAISYSPOOL_SOAK_SOAKSTORE_H
#define DAISYSPOOL_SOAK_SOAKSTORE_H

#include "Standin.h"
#include "daisyspool/platform/Base64.h"
#include "fleet/VirtualStore.h"

#include <charconv>

namespace daisyspool::soak {

using nlohmann::json;
using testing::VirtualLoop;
using testing::VirtualStore;
using ExchangePtr = std::shared_ptr<http::Exchange>;

/// The value of \p Name in the query of \p Target; empty if there is none.
inline std::string queryValue(const std::string &Target,
                              const std::string &Name) {
  std::size_t At = Target.find('?');
  while (At != std::string::npos) {
    std::size_t End = Target.find('&', At + 1);
    std::string Pair =
        Target.substr(At + 1, End == std::string::npos ? End : End - At - 1);
    if (Pair.starts_with(Name + "="))
      return Pair.substr(Name.size() + 1);
    At = End;
  }
  return {};
}

inline std::int64_t numberOr(const std::string &Text, std::int64_t Default) {
  std::int64_t Value = Default;
  std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  return Value;
}

/// Thread safety: the I/O thread only.
class SoakStore {
public:
  /// Changes a row before it is stored; lets the soak put proxies between the
  /// processes.
  using RowFilter = std::function<void(rows::RowValue &)>;

  SoakStore(boost::asio::io_context &Io, VirtualLoop &Loop,
            std::mt19937_64 &Random, RowFilter Filter)
      : Loop(Loop), Rows(Loop, Random), Filter(std::move(Filter)),
        Port(Io, controlOptions({"127.0.0.1", 0}),
             [this](const http::Request &What, const ExchangePtr &Answer) {
               serve(What, Answer);
             }) {}

  http::Endpoint endpoint() const { return Port.endpoint(); }

  VirtualLoop &Loop;
  VirtualStore Rows;

private:
  static constexpr Millis PollInterval{5};
  static constexpr Millis LateAfter{2500};

  void serve(const http::Request &What, const ExchangePtr &Answer) {
    if (Rows.Silent) {
      Unanswered.push_back(Answer);
      return;
    }
    if (Rows.Down)
      return Answer->respond(jsonResponse(json::object(), 503));
    try {
      if (What.Target == "/-/rows-tx")
        return transact(json::parse(What.Body), Answer);
      if (What.Target.starts_with("/-/rows-get"))
        return Answer->respond(jsonResponse(pageToJson(Rows.page(
            {queryValue(What.Target, "table"), queryValue(What.Target, "part"),
             decoded(queryValue(What.Target, "from")),
             decoded(queryValue(What.Target, "to"))}))));
      if (What.Target.starts_with("/-/rows-feed"))
        return feed(queryValue(What.Target, "table"),
                    rows::RowVersion(static_cast<std::uint64_t>(
                        numberOr(queryValue(What.Target, "after"), 0))),
                    Loop.now() +
                        Millis(numberOr(queryValue(What.Target, "wait_ms"), 0)),
                    Answer);
      Answer->respond(jsonResponse(json::object(), 404));
    } catch (const json::exception &Problem) {
      Answer->respond(jsonResponse({{"detail", Problem.what()}}, 400));
    }
  }

  /// Only '!' needs decoding among the characters of the project's keys.
  static std::string decoded(std::string Text) {
    for (std::size_t At = Text.find("%21"); At != std::string::npos;
         At = Text.find("%21"))
      Text.replace(At, 3, "!");
    return Text;
  }

  static rows::RowName nameFromJson(const json &From) {
    return {From.at("table"), From.value("part", ""), From.at("key")};
  }

  json pageToJson(const rows::RowPage &Page) const {
    json Result{{"rows", json::array()},
                {"truncated", Page.Truncated},
                {"schema_version", Page.Version.value()},
                {"now_ms", Loop.now().time_since_epoch().count() / 1000000}};
    for (const rows::StoredRow &Row : Page.Rows) {
      json Each{{"table", Row.Name.Table},
                {"part", Row.Name.Partition},
                {"key", Row.Name.Key},
                {"schema_version", Row.Version.value()}};
      if (Row.Removed)
        Each["tombstone"] = true;
      else
        Each["value"] = toBase64(Row.Value);
      Result["rows"].push_back(std::move(Each));
    }
    return Result;
  }

  void transact(const json &From, const ExchangePtr &Answer) {
    rows::RowTransaction What;
    for (const json &Each : From.at("expected_revision"))
      What.Conditions.push_back(
          {nameFromJson(Each),
           rows::RowVersion(Each.at("schema_version").get<std::uint64_t>())});
    for (const json &Each : From.at("upserts")) {
      What.Puts.push_back(
          {nameFromJson(Each),
           fromBase64(Each.at("value").get<std::string>()).value_or("")});
      Filter(What.Puts.back());
    }
    for (const json &Each : From.at("remove"))
      What.Removes.push_back(nameFromJson(Each));

    if (Rows.chance(Rows.LostAnswerShare)) {
      if (Rows.ApplyLostWritesLate)
        Loop.after(LateAfter, [this, What] { Rows.apply(What); });
      else
        Rows.apply(What);
      Unanswered.push_back(Answer);
      return;
    }
    auto Outcome = Rows.apply(What);
    if (const auto *Bad = std::get_if<rows::Conflict>(&Outcome))
      return Answer->respond(
          jsonResponse(pageToJson({Bad->Current, false, Rows.version()}), 412));
    Answer->respond(jsonResponse(pageToJson({{}, false, Rows.version()})));
  }

  void feed(const std::string &Table, rows::RowVersion After, TimePoint End,
            const ExchangePtr &Answer) {
    auto Found = Rows.changes(Table, After);
    const auto *Page = std::get_if<rows::RowPage>(&Found);
    if (!Page)
      return Answer->respond(jsonResponse(json::object(), 410));
    if (!Page->Rows.empty() || Loop.now() >= End)
      return Answer->respond(jsonResponse(pageToJson(*Page)));
    Loop.after(PollInterval, [this, Table, After, End, Answer] {
      feed(Table, After, End, Answer);
    });
  }

  RowFilter Filter;
  /// Calls whose callers wait in vain.
  std::vector<ExchangePtr> Unanswered;
  http::Server Port;
};

} // namespace daisyspool::soak

#endif // DAISYSPOOL_SOAK_SOAKSTORE_H
