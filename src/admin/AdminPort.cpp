#include "daisyspool/admin/AdminPort.h"

#include "daisyspool/core/Hash.h"

#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>

#include <charconv>
#include <cstdlib>
#include <utility>

namespace daisyspool {

namespace {

http::Server::Options portOptions(http::Endpoint Listen) {
  http::Server::Options Result;
  Result.Listen = std::move(Listen);
  Result.MaxConnections = 64;
  Result.MaxBodyBytes = 64 * 1024 * 1024;
  return Result;
}

/// Parses an entity tag such as "17". Returns nothing if it is malformed.
std::optional<ConfigVersion> parseTag(std::string_view Tag) {
  if (Tag.size() < 3 || Tag.front() != '"' || Tag.back() != '"')
    return std::nullopt;

  std::uint64_t Number = 0;
  const char *End = Tag.data() + Tag.size() - 1;
  auto [Stop, Failure] = std::from_chars(Tag.data() + 1, End, Number);
  if (Failure != std::errc{} || Stop != End)
    return std::nullopt;
  return ConfigVersion(Number);
}

/// The value of \p Name in the query of \p Target. Values are names without
/// escapes.
std::optional<std::string> queryParameter(const std::string &Target,
                                          const std::string &Name) {
  for (const char *Lead : {"?", "&"}) {
    std::size_t At = Target.find(Lead + Name + "=");
    if (At == std::string::npos)
      continue;
    std::size_t Start = At + Name.size() + 2;
    return Target.substr(Start, Target.find('&', Start) - Start);
  }
  return std::nullopt;
}

nlohmann::json describeMembers(const GossipStatus &Of) {
  nlohmann::json Result = nlohmann::json::array();
  for (const Member &Each : Of.Members)
    Result.push_back(
        {{"process", Each.Id.str()},
         {"role", toString(Each.Info.Role)},
         {"state", toString(Each.State)},
         {"failureDomain", Each.Info.FailureDomain.str()},
         {"draining", Each.Info.Draining},
         {"configVersion",
          (Each.Id == Of.Self ? Of.Version : Each.Config).value()}});
  return Result;
}

/// Members that were last heard with an older configuration.
nlohmann::json behind(const GossipStatus &Of) {
  nlohmann::json Result = nlohmann::json::array();
  for (const Member &Each : Of.Members)
    if (Each.Id != Of.Self && Each.reachable() && Each.Config < Of.Version)
      Result.push_back(Each.Id.str());
  return Result;
}

} // namespace

AdminPort::AdminPort(boost::asio::io_context &Io, http::Endpoint Listen,
                     OperatorKeys Keys, Metrics &Values, GossipDuty &Gossip,
                     ConfigDuty &Config, ServedLogDuty &Record,
                     StatusSource Requests)
    : Io(Io), Keys(std::move(Keys)), Values(Values), Gossip(Gossip),
      Config(Config), Record(Record), Requests(std::move(Requests)),
      Port(Io, portOptions(std::move(Listen)),
           [this](http::Request Received, ExchangePtr Answer) {
             handle(std::move(Received), std::move(Answer));
           }) {}

std::function<void(http::Response)>
AdminPort::answerLater(const ExchangePtr &Answer) {
  return [this, Answer](http::Response Reply) {
    boost::asio::post(Io, [Answer, Reply = std::move(Reply)]() mutable {
      Answer->respond(std::move(Reply));
    });
  };
}

void AdminPort::handle(http::Request Received, ExchangePtr Answer) {
  if (Received.Target == "/metrics")
    return Answer->respond(
        {200, {{"Content-Type", "text/plain; version=0.0.4"}}, Values.text()});

  auto Who = Keys.identify(Received);
  if (!Who)
    return Answer->respond(http::toResponse(
        {401, "unauthorized", "A valid operator key is needed", {}}));

  std::string Path = Received.Target.substr(0, Received.Target.find('?'));
  if (Path == "/v1/status" && Received.Method == "GET")
    return status(Answer);
  if (Path == "/v1/config" && Received.Method == "GET")
    return showConfig(Answer);
  if (Path == "/v1/config" && Received.Method == "PUT")
    return changeConfig(Received, *Who, Answer);

  if (Path == "/v1/record" && Received.Method == "GET")
    return showRecord(Received, Answer);
  if (Path == "/v1/record/verify" && Received.Method == "GET")
    return Record.verify(answerLater(Answer));

  Answer->respond(http::toResponse(
      {404, "not-found", "No such resource on the operators' port", {}}));
}

void AdminPort::status(const ExchangePtr &Answer) {
  Requests([this, Send = answerLater(Answer)](const std::string &Flow) {
    Gossip.status([Send, Flow](const GossipStatus &Now) {
      nlohmann::json Document{{"configVersion", Now.Version.value()},
                              {"configConfirmed", Now.Confirmed},
                              {"behind", behind(Now)},
                              {"members", describeMembers(Now)}};
      Document.update(nlohmann::json::parse(Flow));
      Send({200, {{"Content-Type", "application/json"}}, Document.dump()});
    });
  });
}

void AdminPort::showRecord(const http::Request &Received,
                           const ExchangePtr &Answer) {
  RecordQuery What;
  What.Request = queryParameter(Received.Target, "request");
  if (auto Caller = queryParameter(Received.Target, "caller"))
    What.Caller = CallerId(*Caller);
  if (auto From = queryParameter(Received.Target, "from"))
    What.From = WallMillis(std::strtoll(From->c_str(), nullptr, 10));
  if (auto To = queryParameter(Received.Target, "to"))
    What.To = WallMillis(std::strtoll(To->c_str(), nullptr, 10));
  Record.query(std::move(What), answerLater(Answer));
}

void AdminPort::showConfig(const ExchangePtr &Answer) {
  Gossip.status([Send = answerLater(Answer)](const GossipStatus &Now) {
    std::string Tag = "\"" + std::to_string(Now.Version.value()) + "\"";
    nlohmann::json Document{{"version", Now.Version.value()},
                            {"confirmed", Now.Confirmed},
                            {"records", Now.Entries}};
    Send({200,
          {{"Content-Type", "application/json"}, {"ETag", Tag}},
          Document.dump()});
  });
}

void AdminPort::changeConfig(const http::Request &Received,
                             const OperatorIdentity &Who,
                             const ExchangePtr &Answer) {
  if (Who.Role != OperatorRole::Admin)
    return Answer->respond(http::toResponse(
        {403, "forbidden", "Changes need the role admin", {}}));
  auto Match = http::findHeader(Received.Headers, "If-Match");
  auto Base = Match ? parseTag(*Match) : std::nullopt;
  auto Id = http::findHeader(Received.Headers, "Daisyspool-Change-Id");
  if (!Base || !Id || Id->empty())
    return Answer->respond(http::toResponse(
        {428,
         "precondition-required",
         "If-Match with the version that the change is based on and "
         "Daisyspool-Change-Id are needed",
         {}}));

  ConfigProposal Change;
  Change.Base = *Base;
  Change.Origin = {ChangeId(*Id), Who.Id, stableHash(Received.Body)};
  Change.DryRun = Received.Target.find("dryRun=yes") != std::string::npos;
  // A process that cannot confirm its configuration takes no changes.
  if (!Change.DryRun && !Gossip.confirmed())
    return Answer->respond(http::toResponse(
        {503, "config-unconfirmed",
         "This entry cannot confirm its configuration with the table service",
         Execution::NotRun}));
  auto Document = nlohmann::json::parse(Received.Body, nullptr, false);
  if (!Document.is_object() || !Document.contains("files") ||
      !Document["files"].is_array())
    return Answer->respond(http::toResponse(
        {400, "malformed-request", "A JSON object with files is needed", {}}));
  for (const auto &Each : Document["files"]) {
    if (!Each.is_object() || !Each.contains("name") || !Each.contains("text") ||
        !Each["name"].is_string() || !Each["text"].is_string())
      return Answer->respond(http::toResponse(
          {400, "malformed-request", "A file has a name and a text", {}}));
    Change.Files.push_back(
        {Each["name"].get<std::string>(), Each["text"].get<std::string>()});
  }
  Config.propose(std::move(Change), answerLater(Answer));
}

} // namespace daisyspool
