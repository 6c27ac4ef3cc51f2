// The platform's store as the operators' pages describe it; it may lose
// answers.
#ifndef DAISYSPOOL_REVIEW_FLEET3_STORE_H
#define DAISYSPOOL_REVIEW_FLEET3_STORE_H

#include "Standin.h"
#include "fleet/VirtualLoop.h"

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <tuple>

namespace daisyspool::review {

using nlohmann::json;
using testing::VirtualLoop;
using ExchangePtr = std::shared_ptr<http::Exchange>;

/// Thread safety: the I/O thread only.
class Store {
public:
  Store(boost::asio::io_context &Io, VirtualLoop &Loop)
      : Loop(Loop), HttpServer(Io, options(),
                               [this](const http::Request &Received,
                                      const ExchangePtr &Answer) {
                                 serve(Received, Answer);
                               }) {}

  http::Endpoint endpoint() const { return HttpServer.endpoint(); }

  /// Writes a row as the operator does. \p Value is base64.
  void put(const std::string &Table, const std::string &Part,
           const std::string &Key, const std::string &Value) {
    ++Version;
    change({Table, Part, Key}, {Value, Version, false});
  }

  /// The base64 value of a row, or nothing if there is none.
  std::optional<std::string> value(const std::string &Table,
                                   const std::string &Part,
                                   const std::string &Key) const {
    auto Found = Rows.find({Table, Part, Key});
    if (Found == Rows.end())
      return std::nullopt;
    return Found->second.Value;
  }

  /// Whether the answer to a transaction with this body is lost; it is then
  /// done after LateAfter, if its condition still holds.
  std::function<bool(const json &Body)> IsLost = [](const json &) {
    return false;
  };
  Millis LateAfter{5900};

  /// Changes the base64 value of a row that a process writes.
  std::function<std::string(const std::string &Value)> Filter;

  /// The number of transactions so far.
  std::uint64_t version() const { return Version; }

private:
  /// Table, part and key.
  using Name = std::tuple<std::string, std::string, std::string>;
  struct Row {
    std::string Value;
    std::uint64_t Version = 0;
    bool Tombstone = false;
  };

  static constexpr Millis TransactionTime{4};
  static constexpr Millis PollInterval{5};
  static constexpr Millis History{20000};
  static constexpr std::size_t MaxRows = 500;
  static constexpr std::size_t MaxBytes = 1'000'000;
  static constexpr std::size_t MaxEntries = 100;

  static http::Server::Options options() {
    http::Server::Options Result = controlOptions({"127.0.0.1", 0});
    Result.MaxBodyBytes = 4 * MaxBytes;
    return Result;
  }

  void serve(const http::Request &Received, const ExchangePtr &Answer) {
    try {
      std::string Path = Received.Target.substr(0, Received.Target.find('?'));
      if (Path == "/-/rows-tx")
        return receive(json::parse(Received.Body), Answer);
      if (Path == "/-/rows-get")
        return Answer->respond(jsonResponse(range(Received.Target)));
      if (Path == "/-/rows-feed")
        return feed(query(Received.Target, "table"),
                    std::stoull(query(Received.Target, "after")),
                    Loop.now() +
                        Millis(std::stoll(query(Received.Target, "wait_ms"))),
                    Answer);
      Answer->respond(jsonResponse(json::object(), 404));
    } catch (const std::exception &Problem) {
      Answer->respond(jsonResponse({{"error", Problem.what()}}, 400));
    }
  }

  void receive(const json &From, const ExchangePtr &Answer) {
    bool Lost = IsLost(From);
    if (Lost)
      Unanswered.push_back(Answer);
    Loop.after(Lost ? LateAfter : TransactionTime, [this, Lost, Answer, From] {
      http::Response Result = transact(From);
      if (!Lost)
        Answer->respond(std::move(Result));
    });
  }

  static std::string query(const std::string &Target, const std::string &Key) {
    std::size_t Position = Target.find('?');
    while (Position != std::string::npos) {
      std::size_t End = Target.find('&', Position + 1);
      std::string Pair = Target.substr(Position + 1, End - Position - 1);
      if (Pair.starts_with(Key + "="))
        return decoded(Pair.substr(Key.size() + 1));
      Position = End;
    }
    return {};
  }

  static std::string decoded(const std::string &Text) {
    std::string Result;
    for (std::size_t I = 0; I < Text.size(); ++I)
      if (Text[I] == '%' && I + 2 < Text.size()) {
        Result +=
            static_cast<char>(std::stoi(Text.substr(I + 1, 2), nullptr, 16));
        I += 2;
      } else {
        Result += Text[I];
      }
    return Result;
  }

  static Name nameFromJson(const json &From) {
    return {From.at("table"), From.value("part", ""), From.at("key")};
  }

  static json toJson(const Name &Of, const Row &Each) {
    json Result{{"table", std::get<0>(Of)},
                {"part", std::get<1>(Of)},
                {"key", std::get<2>(Of)},
                {"schema_version", Each.Version}};
    if (Each.Tombstone)
      Result["tombstone"] = true;
    else
      Result["value"] = Each.Value;
    return Result;
  }

  json page() const {
    return {{"rows", json::array()},
            {"schema_version", Version},
            {"now_ms",
             std::chrono::duration_cast<Millis>(Loop.now().time_since_epoch())
                 .count()}};
  }

  json range(const std::string &Target) const {
    std::string Table = query(Target, "table");
    std::string Part = query(Target, "part");
    std::string To = query(Target, "to");
    json Result = page();
    Result["truncated"] = false;
    std::size_t Bytes = 0;
    for (auto Next = Rows.lower_bound({Table, Part, query(Target, "from")});
         Next != Rows.end(); ++Next) {
      const auto &[RowTable, RowPart, Key] = Next->first;
      if (RowTable != Table || RowPart != Part || (!To.empty() && Key >= To))
        break;
      Bytes += Next->second.Value.size() + Key.size();
      if (Result["rows"].size() == MaxRows || Bytes > MaxBytes) {
        Result["truncated"] = true;
        break;
      }
      Result["rows"].push_back(toJson(Next->first, Next->second));
    }
    return Result;
  }

  void change(const Name &Of, const Row &To) {
    if (To.Tombstone)
      Rows.erase(Of);
    else
      Rows[Of] = To;
    Changes.push_back({Of, To, Loop.now()});
    while (Loop.now() - Changes.front().At > History) {
      TrimmedTo = Changes.front().To.Version;
      Changes.pop_front();
    }
  }

  http::Response transact(const json &From) {
    const json &Conditions = From.at("expected_revision");
    const json &Puts = From.at("upserts");
    const json &Removes = From.at("remove");
    if (Conditions.size() + Puts.size() + Removes.size() > MaxEntries)
      return jsonResponse(json::object(), 400);
    json Current = json::array();
    bool Holds = true;
    for (const json &Each : Conditions) {
      auto Found = Rows.find(nameFromJson(Each));
      std::uint64_t Stored = Found == Rows.end() ? 0 : Found->second.Version;
      if (Stored != 0)
        Current.push_back(toJson(Found->first, Found->second));
      Holds = Holds && Stored == Each.at("schema_version");
    }
    json Result = page();
    if (!Holds) {
      Result["rows"] = std::move(Current);
      return jsonResponse(Result, 412);
    }
    ++Version;
    for (const json &Each : Puts)
      change(nameFromJson(Each), {Filter(Each.at("value")), Version, false});
    for (const json &Each : Removes)
      change(nameFromJson(Each), {"", Version, true});
    Result["schema_version"] = Version;
    return jsonResponse(Result);
  }

  void feed(const std::string &Table, std::uint64_t After, TimePoint Until,
            const ExchangePtr &Answer) {
    if (After < TrimmedTo)
      return Answer->respond(jsonResponse(json::object(), 410));
    json Result = page();
    auto Next = std::partition_point(
        Changes.begin(), Changes.end(),
        [After](const Change &Each) { return Each.To.Version <= After; });
    for (; Next != Changes.end(); ++Next)
      if (std::get<0>(Next->Of) == Table)
        Result["rows"].push_back(toJson(Next->Of, Next->To));
    if (!Result["rows"].empty() || Loop.now() >= Until)
      return Answer->respond(jsonResponse(Result));
    Loop.after(PollInterval, [this, Table, After, Until, Answer] {
      feed(Table, After, Until, Answer);
    });
  }

  struct Change {
    Name Of;
    Row To;
    TimePoint At;
  };

  VirtualLoop &Loop;
  std::map<Name, Row> Rows;
  /// Those of the last seconds, oldest first.
  std::deque<Change> Changes;
  std::uint64_t TrimmedTo = 0;
  /// Calls that are never answered.
  std::vector<ExchangePtr> Unanswered;
  std::uint64_t Version = 0;
  http::Server HttpServer;
};

} // namespace daisyspool::review

#endif // DAISYSPOOL_REVIEW_FLEET3_STORE_H
