#include "daisyspool/admin/ConfigDuty.h"

#include "daisyspool/telemetry/Log.h"

#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace daisyspool {

namespace {

constexpr std::size_t ChangesPerRead = 64;
constexpr std::size_t MaxListedEntries = 1000;
const std::string EntriesPartition = "entries";
/// Age after which the row of an entry is ignored. A running entry rewrites its
/// row every ListInterval, so an older row belongs to an entry that stopped.
constexpr std::chrono::minutes ListedEntryExpiry{10};

http::Response jsonResponse(int Status, const nlohmann::json &Document) {
  return {Status, {{"Content-Type", "application/json"}}, Document.dump()};
}

http::Response invalidConfigResponse(const std::vector<SettingsError> &Errors) {
  nlohmann::json List = nlohmann::json::array();
  for (const SettingsError &Each : Errors)
    List.push_back({{"file", Each.file()},
                    {"line", Each.line()},
                    {"key", Each.key()},
                    {"message", Each.what()}});
  nlohmann::json Document{{"type", "urn:daisyspool:problem:invalid-config"},
                          {"title", "invalid-config"},
                          {"status", 422},
                          {"mistakes", std::move(List)}};
  return {422, {{"Content-Type", "application/problem+json"}}, Document.dump()};
}

http::Response conflictResponse(const ConfigConflict &Problem) {
  nlohmann::json Document{{"type", "urn:daisyspool:problem:config-conflict"},
                          {"title", "config-conflict"},
                          {"status", 412},
                          {"detail", Problem.what()},
                          {"expectedVersion", Problem.expected().value()},
                          {"currentVersion", Problem.current().value()}};
  return {412, {{"Content-Type", "application/problem+json"}}, Document.dump()};
}

std::int64_t wallSeconds() {
  auto Now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::seconds>(Now).count();
}

} // namespace

ConfigDuty::ConfigDuty(boost::asio::io_context &Io, Options Config,
                       std::unique_ptr<TableService> Table, GossipDuty &Gossip)
    : Io(Io), Config(std::move(Config)), Table(std::move(Table)),
      Store(*this->Table), Gossip(Gossip), Timer(Io) {
  boost::asio::post(Io, [this] { runPeriodic(); });
}

void ConfigDuty::propose(ConfigProposal Change, Answer Done) {
  boost::asio::post(
      Io, [this, Change = std::move(Change), Done = std::move(Done)] {
        try {
          Done(handleProposal(Change));
        } catch (const ConfigConflict &Problem) {
          Done(conflictResponse(Problem));
        } catch (const ChangeIdReused &Problem) {
          Done(http::toResponse({409, "change-id-reused", Problem.what(), {}}));
        } catch (const PlatformThrottled &Problem) {
          Done(http::toResponse(
              {503, "store-unavailable", Problem.what(), Execution::NotRun}));
        } catch (const Error &Problem) {
          Done(http::toResponse(
              {503, "store-unavailable", Problem.what(), Execution::Unknown}));
        }
      });
}

http::Response ConfigDuty::handleProposal(const ConfigProposal &Change) {
  ParsedConfig Next = parseConfigFiles(Change.Files);
  if (!Next.Errors.empty())
    return invalidConfigResponse(Next.Errors);
  if (!Change.DryRun)
    if (auto Earlier = Store.findAccepted(Change.Origin))
      return jsonResponse(
          200, {{"version", Earlier->Version.value()}, {"repeated", true}});

  ConfigDocument Current = Store.load();
  if (Current.version() != Change.Base)
    throw ConfigConflict(Change.Base, Current.version());
  Inventory Previous = parseDocument(Current).Content;
  auto Errors = validate(Next.Content, &Previous);
  if (!Errors.empty())
    return invalidConfigResponse(Errors);

  auto Difference = describeDifference(Current.entries(), Next.Entries);
  if (Change.DryRun)
    return jsonResponse(200, {{"version", Current.version().value()},
                              {"dryRun", true},
                              {"difference", Difference}});

  AcceptedChange Accepted = Store.propose(Current, Next.Entries, Change.Origin);
  adoptChanges(Gossip.version(), Accepted.Version);
  LogEvent(LogLevel::Info, "config_accepted")
      .with("version", Accepted.Version)
      .with("operator", Change.Origin.Operator)
      .with("change", Change.Origin.Id);
  return jsonResponse(
      200, {{"version", Accepted.Version.value()}, {"difference", Difference}});
}

void ConfigDuty::adoptChanges(ConfigVersion From, ConfigVersion To) {
  while (From < To) {
    auto Changes = Store.changesAfter(From, ChangesPerRead);
    if (Changes.empty())
      return;
    for (const ConfigChange &Each : Changes)
      Gossip.adoptAndPush(Each);
    From = Changes.back().Version;
  }
}

void ConfigDuty::readHead() {
  if (!IsLoaded) {
    Gossip.adopt(Store.load());
    IsLoaded = true;
  }
  ConfigVersion Head = Store.head().Version;
  adoptChanges(Gossip.version(), Head);
  Gossip.onStoreHead(Head);
}

void ConfigDuty::updateEntryList() {
  nlohmann::json Self{{"gossip", http::toString(Config.GossipEndpoint)},
                      {"seconds", wallSeconds()}};
  Transaction Update;
  Update.Token = Config.Process.str() + "/" + std::to_string(++OwnRowVersion);
  Update.Writes.push_back(PutRow{{EntriesPartition, Config.Process.str()},
                                 OwnRowVersion,
                                 Self.dump(),
                                 Unconditional{}});
  Table->commit(Update);

  std::vector<ListedEntry> Listed;
  for (const Row &Each : Table->query(EntriesPartition, "", MaxListedEntries)) {
    auto Document = nlohmann::json::parse(Each.Value, nullptr, false);
    if (Document.is_discarded() || !Document.contains("gossip") ||
        !Document["gossip"].is_string())
      continue;
    std::int64_t Age = wallSeconds() - Document.value("seconds", 0L);
    auto Endpoint = http::parseEndpoint(Document["gossip"].get<std::string>());
    if (Endpoint && Each.Key.Sort != Config.Process.str() &&
        Age < std::chrono::seconds(ListedEntryExpiry).count())
      Listed.push_back(
          {ProcessId(Each.Key.Sort), {Endpoint->Address, Endpoint->Port}});
  }
  Gossip.syncWithListed(std::move(Listed));
}

void ConfigDuty::runPeriodic() {
  try {
    readHead();
    if (std::chrono::steady_clock::now() >= NextListTime) {
      updateEntryList();
      NextListTime = std::chrono::steady_clock::now() + Config.ListInterval;
    }
  } catch (const Error &Problem) {
    LogEvent(LogLevel::Warning, "store_problem")
        .with("operation", "config")
        .with("detail", Problem.what());
  }

  Timer.expires_after(Config.HeadReadInterval);
  Timer.async_wait([this](boost::system::error_code Failure) {
    if (!Failure)
      runPeriodic();
  });
}

} // namespace daisyspool
