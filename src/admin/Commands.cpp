#include "daisyspool/admin/Commands.h"

#include "daisyspool/config/ConfigFiles.h"
#include "daisyspool/http/Client.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <iomanip>
#include <iostream>
#include <thread>

namespace daisyspool {

namespace {

constexpr Millis CallTimeout{10000};
constexpr std::chrono::seconds InForceTimeout{30};
constexpr Millis InForcePollInterval{200};
constexpr int ExitFailed = 1;
constexpr int ExitRejected = 3;

http::Response callEntry(const CommandOptions &Options, http::Request Request) {
  if (!Options.Key.empty())
    Request.Headers.push_back({"Authorization", "Bearer " + Options.Key});
  Request.Headers.push_back({"Daisyspool-Operator", Options.Operator});
  return http::exchangeBlocking(Options.Entry, std::move(Request), CallTimeout);
}

nlohmann::json parseAnswer(const http::Response &Answer) {
  auto Document = nlohmann::json::parse(Answer.Body, nullptr, false);
  if (Document.is_discarded())
    throw ProtocolError("the entry answered something that is not JSON");

  return Document;
}

int printProblem(const http::Response &Answer) {
  nlohmann::json Problem = parseAnswer(Answer);
  std::cerr << Problem.value("title", "problem") << ": "
            << Problem.value("detail", "") << '\n';
  if (Problem.contains("mistakes"))
    for (const auto &Each : Problem["mistakes"])
      std::cerr << "  " << Each.value("message", "") << '\n';
  if (Problem.contains("currentVersion"))
    std::cerr << "  based on version " << Problem["expectedVersion"]
              << ", in force is " << Problem["currentVersion"] << '\n';

  bool IsRejected = Answer.Status == 409 || Answer.Status == 412 ||
                    Answer.Status == 422 || Answer.Status == 400;
  return IsRejected ? ExitRejected : ExitFailed;
}

int waitUntilInForce(const CommandOptions &Options, std::uint64_t Version) {
  auto Start = std::chrono::steady_clock::now();
  nlohmann::json MembersBehind;
  while (std::chrono::steady_clock::now() - Start < InForceTimeout) {
    nlohmann::json Status =
        parseAnswer(callEntry(Options, {"GET", "/v1/status", {}, {}}));
    MembersBehind = Status["behind"];
    if (Status["configVersion"].get<std::uint64_t>() >= Version &&
        MembersBehind.empty()) {
      auto Elapsed = std::chrono::duration_cast<Millis>(
          std::chrono::steady_clock::now() - Start);
      std::cout << "version " << Version << " in force everywhere after "
                << Elapsed.count() << " ms\n";
      return 0;
    }
    std::this_thread::sleep_for(InForcePollInterval);
  }

  std::cout << "version " << Version << " accepted; not yet in force at "
            << MembersBehind.dump() << '\n';
  return ExitFailed;
}

} // namespace

int applyConfig(const CommandOptions &Options, const std::string &Directory,
                const std::string &ChangeId, bool DryRun) {
  nlohmann::json Files = nlohmann::json::array();
  for (const ConfigFile &Each : readConfigDirectory(Directory))
    Files.push_back({{"name", Each.Path}, {"text", Each.Text}});
  http::Response Current = callEntry(Options, {"GET", "/v1/config", {}, {}});
  if (Current.Status != 200)
    return printProblem(Current);

  http::Request Change{
      "PUT",
      DryRun ? "/v1/config?dryRun=yes" : "/v1/config",
      {{"If-Match", http::findHeader(Current.Headers, "ETag").value_or("")},
       {"Daisyspool-Change-Id", ChangeId}},
      nlohmann::json{{"files", Files}}.dump()};
  http::Response Answer = callEntry(Options, std::move(Change));
  if (Answer.Status != 200)
    return printProblem(Answer);

  nlohmann::json Result = parseAnswer(Answer);
  if (Options.Json)
    std::cout << Result.dump() << '\n';
  else if (Result.contains("difference"))
    for (const auto &Line : Result["difference"])
      std::cout << Line.get<std::string>() << '\n';
  return DryRun ? 0
                : waitUntilInForce(Options,
                                   Result["version"].get<std::uint64_t>());
}

int showConfig(const CommandOptions &Options) {
  http::Response Answer = callEntry(Options, {"GET", "/v1/config", {}, {}});
  if (Answer.Status != 200)
    return printProblem(Answer);
  if (Options.Json) {
    std::cout << Answer.Body << '\n';
    return 0;
  }

  nlohmann::json Document = parseAnswer(Answer);
  std::cout << "version " << Document["version"] << '\n';
  for (const auto &[Name, Text] : Document["records"].items())
    std::cout << "[" << Name << "]\n" << Text.get<std::string>() << '\n';
  return 0;
}

int showRecord(const CommandOptions &Options, const std::string &Request,
               const std::string &Caller) {
  std::string Path = "/v1/record?";
  if (!Request.empty())
    Path += "request=" + Request + "&";
  if (!Caller.empty())
    Path += "caller=" + Caller;
  http::Response Answer = callEntry(Options, {"GET", Path, {}, {}});
  if (Answer.Status != 200)
    return printProblem(Answer);
  if (Options.Json) {
    std::cout << Answer.Body << '\n';
    return 0;
  }

  nlohmann::json Document = parseAnswer(Answer);
  for (const auto &Each : Document["lines"])
    std::cout << "at=" << Each["at"] << " log=" << Each.value("log", "")
              << " sequence=" << Each["sequence"]
              << " caller=" << Each.value("caller", "")
              << " request=" << Each.value("request", "")
              << " what=" << Each.value("what", "")
              << " detail=" << Each.value("detail", "")
              << " vm=" << Each.value("vm", "") << '\n';
  if (!Document["complete"].get<bool>())
    std::cout << "more lines exist; narrow the query\n";
  return 0;
}

int verifyRecord(const CommandOptions &Options) {
  http::Response Answer =
      callEntry(Options, {"GET", "/v1/record/verify", {}, {}});
  if (Answer.Status != 200)
    return printProblem(Answer);

  bool Damaged = false;
  nlohmann::json Document = parseAnswer(Answer);
  for (const auto &Each : Document["logs"]) {
    std::cout << "log=" << Each.value("log", "")
              << " entries=" << Each["entries"]
              << " findings=" << Each["findings"].size() << '\n';
    for (const auto &Finding : Each["findings"]) {
      Damaged = true;
      std::cout << "  " << Finding.value("damage", "") << " at sequence "
                << Finding["sequence"] << '\n';
    }
  }
  return Damaged ? ExitFailed : 0;
}

int showStatus(const CommandOptions &Options) {
  http::Response Answer = callEntry(Options, {"GET", "/v1/status", {}, {}});
  if (Answer.Status != 200)
    return printProblem(Answer);
  if (Options.Json) {
    std::cout << Answer.Body << '\n';
    return 0;
  }

  nlohmann::json Document = parseAnswer(Answer);
  std::cout << "configuration version " << Document["configVersion"]
            << (Document["configConfirmed"].get<bool>() ? "" : " (unconfirmed)")
            << ", requests in progress " << Document["inProgress"] << "\n\n";
  std::cout << std::left << std::setw(28) << "PROCESS" << std::setw(8) << "ROLE"
            << std::setw(9) << "STATE" << std::setw(18) << "FAILURE DOMAIN"
            << "CONFIG\n";
  for (const auto &Each : Document["members"])
    std::cout << std::setw(28) << Each["process"].get<std::string>()
              << std::setw(8) << Each["role"].get<std::string>() << std::setw(9)
              << Each["state"].get<std::string>() << std::setw(18)
              << Each["failureDomain"].get<std::string>()
              << Each["configVersion"] << '\n';
  std::cout << '\n'
            << std::setw(8) << "SHARD" << std::setw(8) << "OWNED"
            << std::setw(24) << "OWNER" << std::setw(10) << "WAITING"
            << "LIVE\n";
  for (const auto &Each : Document["shards"])
    std::cout << std::setw(8) << Each["shard"].get<std::uint64_t>()
              << std::setw(8) << (Each["owned"].get<bool>() ? "here" : "no")
              << std::setw(24) << Each["owner"].get<std::string>()
              << std::setw(10) << Each["waiting"].get<std::uint64_t>()
              << Each["live"] << '\n';
  return 0;
}

} // namespace daisyspool
