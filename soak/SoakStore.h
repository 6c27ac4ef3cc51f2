// The platform's store over HTTP as its documentation describes it, with the
// rows of tests/fleet/VirtualStore.h and the faults that the soak test injects.
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

/// Returns the value of \p Name in the query string of \p Target; empty if
/// there is none.
inline std::string queryValue(const std::string &Target,
                              const std::string &Name) {
  std::size_t Position = Target.find('?');
  while (Position != std::string::npos) {
    std::size_t End = Target.find('&', Position + 1);
    std::string Pair = Target.substr(
        Position + 1, End == std::string::npos ? End : End - Position - 1);
    if (Pair.starts_with(Name + "="))
      return Pair.substr(Name.size() + 1);
    Position = End;
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
  /// Changes a row before it is stored; the soak test uses it to put proxies
  /// between the processes.
  using RowFilter = std::function<void(rows::RowValue &)>;

  SoakStore(boost::asio::io_context &Io, VirtualLoop &Loop,
            std::mt19937_64 &Random, RowFilter Filter)
      : Loop(Loop), Rows(Loop, Random), Filter(std::move(Filter)),
        HttpServer(
            Io, controlOptions({"127.0.0.1", 0}),
            [this](const http::Request &Received, const ExchangePtr &Answer) {
              serve(Received, Answer);
            }) {}

  http::Endpoint endpoint() const { return HttpServer.endpoint(); }

  VirtualLoop &Loop;
  VirtualStore Rows;

private:
  static constexpr Millis PollInterval{5};

  void serve(const http::Request &Received, const ExchangePtr &Answer) {
    if (Rows.Silent) {
      Unanswered.push_back(Answer);
      return;
    }
    if (Rows.Down)
      return Answer->respond(jsonResponse(json::object(), 503));
    try {
      if (Received.Target == "/-/rows-tx")
        return transact(json::parse(Received.Body), Answer);
      if (Received.Target.starts_with("/-/rows-get"))
        return Answer->respond(jsonResponse(pageToJson(
            Rows.page({queryValue(Received.Target, "table"),
                       queryValue(Received.Target, "part"),
                       decodeKey(queryValue(Received.Target, "from")),
                       decodeKey(queryValue(Received.Target, "to"))}))));
      if (Received.Target.starts_with("/-/rows-feed"))
        return feed(
            queryValue(Received.Target, "table"),
            rows::RowVersion(static_cast<std::uint64_t>(
                numberOr(queryValue(Received.Target, "after"), 0))),
            Loop.now() +
                Millis(numberOr(queryValue(Received.Target, "wait_ms"), 0)),
            Answer);
      Answer->respond(jsonResponse(json::object(), 404));
    } catch (const json::exception &Problem) {
      Answer->respond(jsonResponse({{"detail", Problem.what()}}, 400));
    }
  }

  /// Decodes %21, the only escape that the characters of row keys need.
  static std::string decodeKey(std::string Text) {
    for (std::size_t Position = Text.find("%21"); Position != std::string::npos;
         Position = Text.find("%21"))
      Text.replace(Position, 3, "!");
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
    rows::RowTransaction Writes;
    for (const json &Each : From.at("expected_revision"))
      Writes.Conditions.push_back(
          {nameFromJson(Each),
           rows::RowVersion(Each.at("schema_version").get<std::uint64_t>())});
    for (const json &Each : From.at("upserts")) {
      Writes.Puts.push_back(
          {nameFromJson(Each),
           fromBase64(Each.at("value").get<std::string>()).value_or("")});
      Filter(Writes.Puts.back());
    }
    for (const json &Each : From.at("remove"))
      Writes.Removes.push_back(nameFromJson(Each));

    if (Rows.chance(Rows.LostAnswerShare)) {
      if (Rows.ApplyLostWritesLate)
        Loop.after(Rows.LateWriteDelay, [this, Writes] { Rows.apply(Writes); });
      else
        Rows.apply(Writes);
      Unanswered.push_back(Answer);
      return;
    }
    auto Outcome = Rows.apply(Writes);
    if (const auto *Conflict = std::get_if<rows::Conflict>(&Outcome))
      return Answer->respond(jsonResponse(
          pageToJson({Conflict->Current, false, Rows.version()}), 412));
    Answer->respond(jsonResponse(pageToJson({{}, false, Rows.version()})));
  }

  void feed(const std::string &Table, rows::RowVersion After, TimePoint End,
            const ExchangePtr &Answer) {
    auto Changes = Rows.changes(Table, After);
    const auto *Page = std::get_if<rows::RowPage>(&Changes);
    if (!Page)
      return Answer->respond(jsonResponse(json::object(), 410));
    if (!Page->Rows.empty() || Loop.now() >= End)
      return Answer->respond(jsonResponse(pageToJson(*Page)));
    Loop.after(PollInterval, [this, Table, After, End, Answer] {
      feed(Table, After, End, Answer);
    });
  }

  RowFilter Filter;
  /// Calls that are never answered.
  std::vector<ExchangePtr> Unanswered;
  http::Server HttpServer;
};

} // namespace daisyspool::soak

#endif // DAISYSPOOL_SOAK_SOAKSTORE_H
