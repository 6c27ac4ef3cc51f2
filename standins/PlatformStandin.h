#ifndef DAISYSPOOL_STANDINS_PLATFORMSTANDIN_H
#define DAISYSPOOL_STANDINS_PLATFORMSTANDIN_H

#include "DynamoFrontend.h"
#include "Standin.h"
#include "daisyspool/core/Random.h"
#include "daisyspool/http/Server.h"
#include "daisyspool/platform/SignatureV4.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <sstream>

namespace daisyspool {

/// Faults of the platform stand-in; all are off at first but the rate limits.
struct PlatformStandinFaults {
  /// "none"; "refuse" answers 503; "hang" never answers. Neither has an effect.
  std::string Outage = "none";
  /// Delay before a call takes effect, also if its client has given up.
  int SlowMs = 0;
  /// Refuses every call for its rate.
  bool Throttle = false;
  /// Zero means no limit.
  double WritesPerSecond = 500;
  double ReadsPerSecond = 2000;
  /// The next writes that take effect and whose connection is then closed.
  int LoseAnswers = 0;
  /// Share of all writes that lose their answer in this way.
  double LoseAnswerShare = 0;
  /// The next calls that take effect and get an answer that the protocol does
  /// not allow.
  int Nonsense = 0;

  template <typename Function> void fields(Function Visit) {
    Visit("outage", Outage);
    Visit("slow_ms", SlowMs);
    Visit("throttle", Throttle);
    Visit("writes_per_second", WritesPerSecond);
    Visit("reads_per_second", ReadsPerSecond);
    Visit("lose_answers", LoseAnswers);
    Visit("lose_answer_share", LoseAnswerShare);
    Visit("nonsense", Nonsense);
  }
};

/// The platform's table service and object store in one process.
///
/// `POST /standin/faults` changes faults while it runs, and `GET
/// /standin/stats` shows counters; see docs/standins.md. Thread safety: the
/// I/O thread only.
class PlatformStandin {
public:
  struct Options {
    http::Endpoint Listen;
    /// Calls without a valid signature by this key are refused if it is set.
    std::optional<AccessKey> Key = std::nullopt;
    std::string Region = "us-east-1";
    std::uint64_t Seed = 1;
  };

  PlatformStandin(boost::asio::io_context &Io, Options Config)
      : Config(std::move(Config)), Chance(this->Config.Seed), Held(Io),
        Port(
            Io, serverOptions(this->Config.Listen),
            [this](http::Request What, std::shared_ptr<http::Exchange> Answer) {
              receive(std::move(What), std::move(Answer));
            }) {}
  PlatformStandin(const PlatformStandin &) = delete;
  PlatformStandin &operator=(const PlatformStandin &) = delete;

  http::Endpoint endpoint() const { return Port.endpoint(); }

private:
  using Answerer = std::shared_ptr<http::Exchange>;

  struct Object {
    std::string Bytes;
    std::vector<http::Header> Metadata;
  };

  /// Tokens for one kind of call, refilled to one second's worth.
  struct Rate {
    double Tokens = 0;
    TimePoint Filled{};

    bool take(double PerSecond, TimePoint Now) {
      if (PerSecond <= 0)
        return true;
      double Passed = std::chrono::duration<double>(Now - Filled).count();
      Tokens = std::min(PerSecond, Tokens + Passed * PerSecond);
      Filled = Now;
      if (Tokens < 1)
        return false;
      Tokens -= 1;
      return true;
    }
  };

  static http::Server::Options serverOptions(const http::Endpoint &Listen) {
    http::Server::Options Result;
    Result.Listen = Listen;
    Result.MaxBodyBytes = 64 * 1024 * 1024;
    return Result;
  }

  static bool isTable(const http::Request &What) {
    return http::findHeader(What.Headers, "X-Amz-Target").has_value();
  }

  static bool isWrite(const http::Request &What) {
    if (isTable(What))
      return DynamoFrontend::operation(What) == "TransactWriteItems";
    return What.Method != "GET";
  }

  void receive(http::Request What, Answerer Answer) {
    if (handleFaults(What, *Answer, Faults)) {
      // Calls that hang end with the outage, as if the service had restarted.
      if (Faults.Outage != "hang")
        Held.dropHanging();
      return;
    }
    if (What.Target == "/standin/stats")
      return Answer->respond(jsonResponse(stats()));
    if (Faults.SlowMs <= 0)
      return serve(What, std::move(Answer));

    Held.delay(Millis(Faults.SlowMs), std::move(What), std::move(Answer),
               [this](const http::Request &Due, Answerer To) {
                 serve(Due, std::move(To));
               });
  }

  void serve(const http::Request &What, Answerer Answer) {
    if (Faults.Outage == "hang") {
      Held.hang(std::move(Answer));
      return;
    }
    if (Faults.Outage == "refuse")
      return Answer->respond({503, {{"Content-Type", "text/plain"}}, "down"});
    if (Config.Key && !signedByKey(What))
      return Answer->respond(
          refusal(What, 403, "SignatureDoesNotMatch", "wrong signature"));
    if (throttled(What)) {
      ++Throttled;
      return Answer->respond(
          isTable(What)
              ? DynamoFrontend::refusal("ThrottlingException", "too fast")
              : refusal(What, 503, "SlowDown", "too fast"));
    }

    ++(isWrite(What) ? Writes : Reads);
    http::Response Result =
        isTable(What) ? Table.handle(What, Time.now()) : handleObject(What);
    if (isWrite(What) && loseAnswer())
      return;
    if (Faults.Nonsense > 0) {
      --Faults.Nonsense;
      Result = nonsense(std::move(Result));
    }
    Answer->respond(std::move(Result));
  }

  bool throttled(const http::Request &What) {
    if (Faults.Throttle)
      return true;
    return isWrite(What) ? !WriteRate.take(Faults.WritesPerSecond, Time.now())
                         : !ReadRate.take(Faults.ReadsPerSecond, Time.now());
  }

  bool loseAnswer() {
    if (Faults.LoseAnswers > 0) {
      --Faults.LoseAnswers;
      return true;
    }
    return Faults.LoseAnswerShare > 0 && Chance.unit() < Faults.LoseAnswerShare;
  }

  /// A different kind of nonsense at each call, made from the true answer.
  http::Response nonsense(http::Response Answer) {
    switch (NonsenseKind++ % 6) {
    case 0:
      return {200, {{"Content-Type", "text/html"}}, "<html>welcome</html>"};
    case 1:
      return DynamoFrontend::answer(200, R"({"Item":{"Partition":7}})");
    case 2:
      return DynamoFrontend::answer(200, R"([1,2)");
    case 3:
      return DynamoFrontend::refusal("NoSuchException", "nonsense", 418);
    case 4:
      return DynamoFrontend::answer(
          200, R"({"Item":{"Partition":{"S":"another"},"Sort":{"S":"row"},)"
               R"("Version":{"N":"1"},"Value":{"B":""}}})");
    default:
      // Damaged on the way, with the checksum of the true answer.
      Answer.Body += ' ';
      return Answer;
    }
  }

  http::Response refusal(const http::Request &What, int Status,
                         const std::string &Code, const std::string &Detail) {
    if (isTable(What))
      return DynamoFrontend::refusal(Code, Detail, 400);
    return {Status,
            {{"Content-Type", "application/xml"}},
            "<?xml version=\"1.0\" encoding=\"UTF-8\"?><Error><Code>" + Code +
                "</Code><Message>" + Detail + "</Message></Error>"};
  }

  http::Response handleObject(const http::Request &What) {
    if (What.Method == "PUT") {
      Object Stored{What.Body, {}};
      for (const http::Header &Each : What.Headers)
        if (Each.Name.starts_with("x-amz-meta-"))
          Stored.Metadata.push_back(Each);
      Objects[What.Target] = std::move(Stored);
      return {200, {{"ETag", '"' + sha256Hex(What.Body) + '"'}}, {}};
    }
    if (What.Method == "DELETE") {
      Objects.erase(What.Target);
      return {204, {}, {}};
    }
    if (What.Method != "GET")
      return refusal(What, 405, "MethodNotAllowed", What.Method);

    auto Found = Objects.find(What.Target);
    if (Found == Objects.end())
      return refusal(What, 404, "NoSuchKey", "no such object");
    http::Response Result{200, Found->second.Metadata, Found->second.Bytes};
    Result.Headers.push_back({"ETag", '"' + sha256Hex(Result.Body) + '"'});
    return Result;
  }

  /// Repeats the signature over the headers that the client has covered.
  bool signedByKey(const http::Request &What) const {
    std::string Sent =
        http::findHeader(What.Headers, "Authorization").value_or("");
    std::string Date =
        http::findHeader(What.Headers, "X-Amz-Date").value_or("");
    const std::string Label = "SignedHeaders=";
    std::size_t From = Sent.find(Label);
    if (From == std::string::npos || Date.size() != 16)
      return false;

    From += Label.size();
    std::istringstream Names(Sent.substr(From, Sent.find(',', From) - From));
    http::Request Covered{What.Method, What.Target, {}, What.Body};
    for (std::string Name; std::getline(Names, Name, ';');)
      Covered.Headers.push_back(
          {Name, http::findHeader(What.Headers, Name).value_or("")});

    SignatureV4 Signer(*Config.Key, Config.Region,
                       isTable(What) ? "dynamodb" : "s3");
    return Signer.authorization(Covered, Date) == Sent;
  }

  nlohmann::json stats() const {
    return {{"reads", Reads},
            {"writes", Writes},
            {"throttled", Throttled},
            {"rows", Table.table().rows().size()},
            {"objects", Objects.size()}};
  }

  Options Config;
  SystemClock Time;
  Random Chance;
  PlatformStandinFaults Faults;
  DynamoFrontend Table;
  std::map<std::string, Object> Objects;
  Rate WriteRate;
  Rate ReadRate;
  std::uint64_t Reads = 0;
  std::uint64_t Writes = 0;
  std::uint64_t Throttled = 0;
  unsigned NonsenseKind = 0;
  HeldCalls Held;
  http::Server Port;
};

} // namespace daisyspool

#endif // DAISYSPOOL_STANDINS_PLATFORMSTANDIN_H
