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
/// Rows that were not rewritten for this long belong to entries that are gone.
constexpr std::chrono::minutes ListedEntryExpiry{10};

http::Response toJson(int Status, const nlohmann::json &Document) {
  return {Status, {{"Content-Type", "application/json"}}, Document.dump()};
}

http::Response mistakes(const std::vector<SettingsError> &Found) {
  nlohmann::json List = nlohmann::json::array();
  for (const SettingsError &Each : Found)
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

http::Response conflict(const ConfigConflict &Problem) {
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
  boost::asio::post(Io, [this] { schedule(); });
}

void ConfigDuty::propose(ConfigProposal Change, Answer Done) {
  boost::asio::post(
      Io, [this, Change = std::move(Change), Done = std::move(Done)] {
        try {
          Done(decide(Change));
        } catch (const ConfigConflict &Problem) {
          Done(conflict(Problem));
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

http::Response ConfigDuty::decide(const ConfigProposal &Change) {
  ParsedConfig Next = parseConfigFiles(Change.Files);
  if (!Next.Errors.empty())
    return mistakes(Next.Errors);
  if (!Change.DryRun)
    if (auto Known = Store.findAccepted(Change.Origin))
      return toJson(200,
                    {{"version", Known->Version.value()}, {"repeated", true}});

  ConfigDocument Current = Store.load();
  if (Current.version() != Change.Base)
    throw ConfigConflict(Change.Base, Current.version());
  Inventory Previous = parseDocument(Current).Content;
  auto Impossible = validate(Next.Content, &Previous);
  if (!Impossible.empty())
    return mistakes(Impossible);

  auto Difference = describeDifference(Current.entries(), Next.Entries);
  if (Change.DryRun)
    return toJson(200, {{"version", Current.version().value()},
                        {"dryRun", true},
                        {"difference", Difference}});

  AcceptedChange Accepted = Store.propose(Current, Next.Entries, Change.Origin);
  catchUp(Gossip.version(), Accepted.Version);
  LogEvent(LogLevel::Info, "config_accepted")
      .with("version", Accepted.Version)
      .with("operator", Change.Origin.Operator)
      .with("change", Change.Origin.Id);
  return toJson(
      200, {{"version", Accepted.Version.value()}, {"difference", Difference}});
}

void ConfigDuty::catchUp(ConfigVersion From, ConfigVersion To) {
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
  if (!Loaded) {
    Gossip.adopt(Store.load());
    Loaded = true;
  }
  ConfigVersion Head = Store.head().Version;
  catchUp(Gossip.version(), Head);
  Gossip.onStoreHead(Head);
}

void ConfigDuty::listEntries() {
  nlohmann::json Self{{"gossip", http::toString(Config.Gossip)},
                      {"seconds", wallSeconds()}};
  Transaction Own;
  Own.Token = Config.Process.str() + "/" + std::to_string(++ListVersion);
  Own.Writes.push_back(PutRow{{EntriesPartition, Config.Process.str()},
                              ListVersion,
                              Self.dump(),
                              Unconditional{}});
  Table->commit(Own);

  std::vector<ListedEntry> Listed;
  for (const Row &Each : Table->query(EntriesPartition, "", MaxListedEntries)) {
    auto Document = nlohmann::json::parse(Each.Value, nullptr, false);
    if (Document.is_discarded() || !Document.contains("gossip") ||
        !Document["gossip"].is_string())
      continue;
    std::int64_t Age = wallSeconds() - Document.value("seconds", 0L);
    auto Where = http::parseEndpoint(Document["gossip"].get<std::string>());
    if (Where && Each.Key.Sort != Config.Process.str() &&
        Age < std::chrono::seconds(ListedEntryExpiry).count())
      Listed.push_back(
          {ProcessId(Each.Key.Sort), {Where->Address, Where->Port}});
  }
  Gossip.syncWithListed(std::move(Listed));
}

void ConfigDuty::schedule() {
  try {
    readHead();
    if (std::chrono::steady_clock::now() >= NextList) {
      listEntries();
      NextList = std::chrono::steady_clock::now() + Config.ListInterval;
    }
  } catch (const Error &Problem) {
    LogEvent(LogLevel::Warning, "store_problem")
        .with("operation", "config")
        .with("detail", Problem.what());
  }

  Timer.expires_after(Config.HeadInterval);
  Timer.async_wait([this](boost::system::error_code Failure) {
    if (!Failure)
      schedule();
  });
}

} // namespace daisyspool
