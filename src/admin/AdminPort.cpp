#include "daisyspool/admin/AdminPort.h"

#include "daisyspool/core/Hash.h"

#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>

#include <charconv>
#include <cstdlib>
#include <utility>

namespace daisyspool {

namespace {

http::Server::Options serverOptions(http::Endpoint Listen) {
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

/// Returns the value of the parameter \p Name in the query of \p Target.
/// Escapes are not decoded, because the values are names without escapes.
std::optional<std::string> queryParameter(const std::string &Target,
                                          const std::string &Name) {
  for (const char *Separator : {"?", "&"}) {
    std::size_t Position = Target.find(Separator + Name + "=");
    if (Position == std::string::npos)
      continue;
    std::size_t Start = Position + Name.size() + 2;
    return Target.substr(Start, Target.find('&', Start) - Start);
  }
  return std::nullopt;
}

nlohmann::json describeMembers(const GossipStatus &Status) {
  nlohmann::json Result = nlohmann::json::array();
  for (const Member &Each : Status.Members)
    Result.push_back(
        {{"process", Each.Id.str()},
         {"role", toString(Each.Info.Role)},
         {"state", toString(Each.State)},
         {"failureDomain", Each.Info.FailureDomain.str()},
         {"draining", Each.Info.Draining},
         {"configVersion",
          (Each.Id == Status.Self ? Status.Version : Each.Config).value()}});
  return Result;
}

/// Lists the reachable members that last reported an older configuration.
nlohmann::json membersBehind(const GossipStatus &Status) {
  nlohmann::json Result = nlohmann::json::array();
  for (const Member &Each : Status.Members)
    if (Each.Id != Status.Self && Each.reachable() &&
        Each.Config < Status.Version)
      Result.push_back(Each.Id.str());
  return Result;
}

} // namespace

AdminPort::AdminPort(boost::asio::io_context &Io, http::Endpoint Listen,
                     OperatorKeys Keys, Metrics &Registry, GossipDuty &Gossip,
                     ConfigDuty &Config, ServedLogDuty &ServedLog,
                     StatusSource RequestStatus)
    : Io(Io), Keys(std::move(Keys)), Registry(Registry), Gossip(Gossip),
      Config(Config), ServedLog(ServedLog),
      RequestStatus(std::move(RequestStatus)),
      Server(Io, serverOptions(std::move(Listen)),
             [this](http::Request Received, ExchangePtr Answer) {
               handle(std::move(Received), std::move(Answer));
             }) {}

std::function<void(http::Response)>
AdminPort::makeResponder(const ExchangePtr &Answer) {
  return [this, Answer](http::Response Reply) {
    boost::asio::post(Io, [Answer, Reply = std::move(Reply)]() mutable {
      Answer->respond(std::move(Reply));
    });
  };
}

void AdminPort::handle(http::Request Received, ExchangePtr Answer) {
  if (Received.Target == "/metrics")
    return Answer->respond({200,
                            {{"Content-Type", "text/plain; version=0.0.4"}},
                            Registry.text()});

  auto Operator = Keys.identify(Received);
  if (!Operator)
    return Answer->respond(http::toResponse(
        {401, "unauthorized", "A valid operator key is needed", {}}));

  std::string Path = Received.Target.substr(0, Received.Target.find('?'));
  if (Path == "/v1/status" && Received.Method == "GET")
    return showStatus(Answer);
  if (Path == "/v1/config" && Received.Method == "GET")
    return showConfig(Answer);
  if (Path == "/v1/config" && Received.Method == "PUT")
    return changeConfig(Received, *Operator, Answer);

  if (Path == "/v1/record" && Received.Method == "GET")
    return showRecord(Received, Answer);
  if (Path == "/v1/record/verify" && Received.Method == "GET")
    return ServedLog.verify(makeResponder(Answer));

  Answer->respond(http::toResponse(
      {404, "not-found", "No such resource on the operators' port", {}}));
}

void AdminPort::showStatus(const ExchangePtr &Answer) {
  RequestStatus(
      [this, Send = makeResponder(Answer)](const std::string &RequestState) {
        Gossip.status([Send, RequestState](const GossipStatus &Status) {
          nlohmann::json Document{{"configVersion", Status.Version.value()},
                                  {"configConfirmed", Status.Confirmed},
                                  {"behind", membersBehind(Status)},
                                  {"members", describeMembers(Status)}};
          Document.update(nlohmann::json::parse(RequestState));
          Send({200, {{"Content-Type", "application/json"}}, Document.dump()});
        });
      });
}

void AdminPort::showRecord(const http::Request &Received,
                           const ExchangePtr &Answer) {
  RecordQuery Query;
  Query.Request = queryParameter(Received.Target, "request");
  if (auto Caller = queryParameter(Received.Target, "caller"))
    Query.Caller = CallerId(*Caller);
  if (auto From = queryParameter(Received.Target, "from"))
    Query.From = WallMillis(std::strtoll(From->c_str(), nullptr, 10));
  if (auto To = queryParameter(Received.Target, "to"))
    Query.To = WallMillis(std::strtoll(To->c_str(), nullptr, 10));
  ServedLog.query(std::move(Query), makeResponder(Answer));
}

void AdminPort::showConfig(const ExchangePtr &Answer) {
  Gossip.status([Send = makeResponder(Answer)](const GossipStatus &Status) {
    std::string Tag = "\"" + std::to_string(Status.Version.value()) + "\"";
    nlohmann::json Document{{"version", Status.Version.value()},
                            {"confirmed", Status.Confirmed},
                            {"records", Status.Entries}};
    Send({200,
          {{"Content-Type", "application/json"}, {"ETag", Tag}},
          Document.dump()});
  });
}

void AdminPort::changeConfig(const http::Request &Received,
                             const OperatorIdentity &Operator,
                             const ExchangePtr &Answer) {
  if (Operator.Role != OperatorRole::Admin)
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
  Change.Origin = {ChangeId(*Id), Operator.Id, stableHash(Received.Body)};
  Change.DryRun = Received.Target.find("dryRun=yes") != std::string::npos;
  // An entry whose configuration is unconfirmed accepts no changes.
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
  Config.propose(std::move(Change), makeResponder(Answer));
}

} // namespace daisyspool
