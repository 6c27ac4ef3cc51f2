// A stand-in for the platform's store: rows, conditional transactions, range
// reads and change feeds over HTTP, as PROTOCOL.md describes them.
#ifndef DAISYSPOOL_REVIEW_STORE_H
#define DAISYSPOOL_REVIEW_STORE_H

#include "Harness.h"

#include "daisyspool/platform/Base64.h"

#include <algorithm>
#include <list>

namespace daisyspool::review {

/// Thread safety: the I/O thread only.
class Store {
public:
  explicit Store(Harness &Host)
      : Host(Host), HttpServer(Host.Io, Harness::listenOn({"127.0.0.1", 0}),
                               [this](const http::Request &Call,
                                      const ExchangePtr &Answer) {
                                 receive(Call, Answer);
                               }) {}

  http::Endpoint endpoint() const { return HttpServer.endpoint(); }

  /// While set, every call is answered with 503 and has no effect.
  bool Busy = false;
  /// Time that a call takes.
  Millis Delay{4};
  /// Writes a row as the operator does.
  void put(const std::string &Table, const std::string &Key,
           const std::string &Value) {
    Rows[{Table, "", Key}] = {Value, ++Version};
    History.push_back({{Table, "", Key}, Version});
    wakeFeeds();
  }

private:
  struct Name {
    std::string Table;
    std::string Part;
    std::string Key;
    auto operator<=>(const Name &) const = default;
  };
  struct Row {
    std::string Value;
    std::uint64_t Version = 0;
  };
  struct Feed {
    std::string Table;
    std::uint64_t After = 0;
    Clock::time_point End;
    ExchangePtr Answer;
  };
  using Query = std::map<std::string, std::string>;

  static constexpr std::size_t PageRows = 500;
  /// Of the names and punctuation of a row.
  static constexpr std::size_t OtherRowBytes = 120;
  static constexpr std::size_t PageBytes = 1'000'000;

  void receive(const http::Request &Call, const ExchangePtr &Answer) {
    Host.after(Delay, [this, Call, Answer] { serve(Call, Answer); });
  }

  void serve(const http::Request &Call, const ExchangePtr &Answer) {
    if (Busy)
      return Answer->respond(jsonResponse(503, json::object()));
    try {
      Query Fields = queryOf(Call.Target);
      if (Call.Target == "/-/rows-tx")
        return transact(json::parse(Call.Body), Answer);
      if (Call.Target.starts_with("/-/rows-get"))
        return Answer->respond(jsonResponse(200, readRange(Fields)));
      if (Call.Target.starts_with("/-/rows-feed"))
        return addFeed(Fields, Answer);
      Answer->respond(jsonResponse(404, json::object()));
    } catch (const std::exception &Problem) {
      Answer->respond(jsonResponse(400, {{"detail", Problem.what()}}));
    }
  }

  static std::string decoded(const std::string &Text) {
    std::string Result;
    for (std::size_t I = 0; I < Text.size(); ++I) {
      if (Text[I] != '%') {
        Result += Text[I];
        continue;
      }
      Result +=
          static_cast<char>(std::stoi(Text.substr(I + 1, 2), nullptr, 16));
      I += 2;
    }
    return Result;
  }

  static Query queryOf(const std::string &Target) {
    Query Result;
    std::size_t Position = Target.find('?');
    while (Position != std::string::npos) {
      std::size_t Next = Target.find('&', Position + 1);
      std::string Pair = Target.substr(Position + 1, Next - Position - 1);
      std::size_t Equals = Pair.find('=');
      if (Equals != std::string::npos)
        Result[Pair.substr(0, Equals)] = decoded(Pair.substr(Equals + 1));
      Position = Next;
    }
    return Result;
  }

  static Name nameOf(const json &From) {
    return {From.at("table"), From.value("part", ""), From.at("key")};
  }

  json rowToJson(const Name &Id) const {
    json Result{{"table", Id.Table}, {"part", Id.Part}, {"key", Id.Key}};
    auto Found = Rows.find(Id);
    if (Found == Rows.end()) {
      Result["schema_version"] = Version;
      Result["tombstone"] = true;
      return Result;
    }
    Result["schema_version"] = Found->second.Version;
    Result["value"] = toBase64(Found->second.Value);
    return Result;
  }

  json page(json Listed, bool Truncated) const {
    return {{"rows", std::move(Listed)},
            {"truncated", Truncated},
            {"schema_version", Version},
            {"now_ms", Host.elapsed().count()}};
  }

  bool holds(const json &Condition) const {
    auto Found = Rows.find(nameOf(Condition));
    std::uint64_t Stored = Found == Rows.end() ? 0 : Found->second.Version;
    return Stored == Condition.at("schema_version").get<std::uint64_t>();
  }

  bool apply(const json &Transaction) {
    for (const json &Each : Transaction.at("expected_revision"))
      if (!holds(Each))
        return false;
    ++Version;
    for (const json &Each : Transaction.at("upserts")) {
      Name Id = nameOf(Each);
      Rows[Id] = {fromBase64(Each.at("value").get<std::string>()).value_or(""),
                  Version};
      History.push_back({Id, Version});
    }
    for (const json &Each : Transaction.at("remove")) {
      Rows.erase(nameOf(Each));
      History.push_back({nameOf(Each), Version});
    }
    wakeFeeds();
    return true;
  }

  void transact(const json &Transaction, const ExchangePtr &Answer) {
    if (apply(Transaction))
      return Answer->respond(jsonResponse(200, page(json::array(), false)));
    json Current = json::array();
    for (const json &Each : Transaction.at("expected_revision"))
      if (Rows.count(nameOf(Each)) != 0)
        Current.push_back(rowToJson(nameOf(Each)));
    Answer->respond(jsonResponse(412, page(std::move(Current), false)));
  }

  json readRange(const Query &Fields) const {
    auto Field = [&Fields](const char *Key) {
      auto Found = Fields.find(Key);
      return Found == Fields.end() ? std::string() : Found->second;
    };
    std::string Table = Field("table");
    std::string Part = Field("part");
    std::string To = Field("to");
    json Listed = json::array();
    std::size_t Bytes = 0;
    for (auto Each = Rows.lower_bound({Table, Part, Field("from")});
         Each != Rows.end(); ++Each) {
      const Name &Id = Each->first;
      if (Id.Table != Table || Id.Part != Part || (!To.empty() && Id.Key >= To))
        break;
      Bytes += Each->second.Value.size() * 4 / 3 + OtherRowBytes;
      if (Listed.size() == PageRows || (Bytes > PageBytes && !Listed.empty()))
        return page(std::move(Listed), true);
      Listed.push_back(rowToJson(Id));
    }
    return page(std::move(Listed), false);
  }

  void addFeed(const Query &Fields, const ExchangePtr &Answer) {
    Feeds.push_back({Fields.at("table"), std::stoull(Fields.at("after")),
                     Clock::now() + Millis(std::stoll(Fields.at("wait_ms"))),
                     Answer});
    auto Added = std::prev(Feeds.end());
    if (answerFeed(*Added)) {
      Feeds.erase(Added);
      return;
    }
    Host.after(Millis(std::stoll(Fields.at("wait_ms"))), [this] {
      auto Now = Clock::now();
      std::erase_if(Feeds, [&](const Feed &Each) {
        if (Each.End > Now)
          return false;
        Each.Answer->respond(
            Busy ? jsonResponse(503, json::object())
                 : jsonResponse(200, page(json::array(), false)));
        return true;
      });
    });
  }

  /// Answers \p Waiting if there is a change; returns whether it did.
  bool answerFeed(const Feed &Waiting) const {
    std::set<Name> Changed;
    for (auto Each = History.rbegin();
         Each != History.rend() && Each->second > Waiting.After; ++Each)
      if (Each->first.Table == Waiting.Table)
        Changed.insert(Each->first);
    if (Changed.empty())
      return false;
    std::vector<json> Listed;
    for (const Name &Each : Changed)
      Listed.push_back(rowToJson(Each));
    std::sort(Listed.begin(), Listed.end(), [](const json &A, const json &B) {
      return A.at("schema_version") < B.at("schema_version");
    });
    Waiting.Answer->respond(jsonResponse(200, page(Listed, false)));
    return true;
  }

  void wakeFeeds() {
    std::erase_if(Feeds, [this](const Feed &Each) { return answerFeed(Each); });
  }

  Harness &Host;
  std::map<Name, Row> Rows;
  std::vector<std::pair<Name, std::uint64_t>> History;
  std::uint64_t Version = 0;
  std::list<Feed> Feeds;
  http::Server HttpServer;
};

} // namespace daisyspool::review

#endif // DAISYSPOOL_REVIEW_STORE_H
