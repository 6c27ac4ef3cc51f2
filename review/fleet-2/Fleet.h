// A small deployment: the store and the workers as stand-ins, entries and
// agents as processes, and callers.
#ifndef DAISYSPOOL_REVIEW_FLEET_H
#define DAISYSPOOL_REVIEW_FLEET_H

#include "Link.h"
#include "Store.h"
#include "Worker.h"

#include <cstdlib>
#include <sstream>

namespace daisyspool::review {

/// Steps of one job, as a caller sends them.
struct Job {
  std::string Id;
  std::string Spec;
  json Steps;
  /// Further fields of the body.
  json Others = json::object();
};

/// Thread safety: the I/O thread only.
class Fleet {
public:
  struct Options {
    std::size_t Entries = 3;
    std::size_t Agents = 3;
    int MilliCores = 16000;
    /// Rate of the link of each entry's machine; 0 is no limit.
    double LinkMbps = 0;
  };
  using Response = std::function<void(int Status, const json &Body)>;

  Fleet(Harness &Host, const Options &Size)
      : Host(Host), Rules(Host), Platform(Host) {
    Platform.put("op", "config", configuration());
    for (std::size_t I = 0; I < Size.Agents; ++I)
      addAgent(I, Size.MilliCores);
    for (std::size_t I = 0; I < Size.Entries; ++I)
      addEntry(I, Size.LinkMbps);
  }
  Fleet(const Fleet &) = delete;
  Fleet &operator=(const Fleet &) = delete;

  void submit(std::size_t Entry, const Job &Submitted, const Response &Done) {
    json Body{{"spec", Submitted.Spec}, {"steps", Submitted.Steps}};
    Body.update(Submitted.Others);
    call(Entry, "POST", Submitted.Id, Body.dump(), Done);
  }
  void query(std::size_t Entry, const std::string &Job, const Response &Done) {
    call(Entry, "GET", Job, "", Done);
  }
  /// The entry that leads, by its log; the number of entries if none does.
  std::size_t leader() const {
    std::size_t Result = Entries.size();
    std::uint64_t Newest = 0;
    for (std::size_t I = 0; I < Entries.size(); ++I) {
      std::ifstream Log(Host.Folder / (entryName(I) + ".log"));
      for (std::string Line; std::getline(Log, Line);) {
        std::size_t Found = Line.find("epoch=");
        if (Line.find("leader_began") == std::string::npos ||
            Found == std::string::npos)
          continue;
        std::uint64_t Epoch =
            std::strtoull(Line.c_str() + Found + 6, nullptr, 10);
        if (Epoch > Newest) {
          Newest = Epoch;
          Result = I;
        }
      }
    }
    return Result;
  }

  Harness &Host;
  Oracle Rules;
  Store Platform;
  std::vector<std::unique_ptr<Worker>> Workers;
  std::vector<std::unique_ptr<Process>> Agents;
  std::vector<std::unique_ptr<Process>> Entries;

private:
  static std::string entryName(std::size_t I) {
    return "entry" + std::to_string(I);
  }

  static std::string configuration() {
    json Route{{"name", "queue"},
               {"host", "127.0.0.1"},
               {"path_prefix", "/queue/"},
               {"kind", "non_idempotent"},
               {"timeout_ms", 3000},
               {"target_latency_ms", 300},
               {"priority", 0},
               {"service", "service"},
               {"max_attempts", 3},
               {"slack_factor", 1.5}};
    json Service{{"name", "service"},        {"health_path", "/health"},
                 {"max_connections", 64},    {"protocol", "h1"},
                 {"admission_check", false}, {"standby", false}};
    return json{{"version", 1},
                {"routes", {Route}},
                {"services", {Service}},
                {"limits", {{"max_body_bytes", 262144}}}}
        .dump();
  }

  std::string settings(const std::string &Name, const std::string &Listen,
                       const std::string &WorkerAddress,
                       const http::Endpoint &StoreAddress) {
    std::ostringstream Text;
    Text << "[node]\nname = " << Name << "\nfailure_domain = a\n[listen]\n"
         << Listen << "links = " << http::toString(Host.freeEndpoint())
         << "\nmetrics = " << http::toString(Host.freeEndpoint())
         << "\n[store]\naddress = " << http::toString(StoreAddress)
         << "\nrow_bytes = 65536\n[worker]\n"
         << WorkerAddress
         << "[bounds]\nmax_lease_ms = 6000\nstop_timeout_ms = 200\n"
            "[capacity]\ncpu_share = 0.25\ncores = 1\n";
    return Text.str();
  }

  void addAgent(std::size_t I, int MilliCores) {
    std::string Number = std::to_string(I);
    http::Endpoint Announcements = Host.freeEndpoint();
    Workers.push_back(std::make_unique<Worker>(Host, Rules, "worker" + Number,
                                               Announcements, MilliCores));
    Agents.push_back(std::make_unique<Process>(
        Host, "agent" + Number, "fleet-agent",
        settings("agent" + Number,
                 "announcements = " + http::toString(Announcements) + "\n",
                 "address = " + http::toString(Workers.back()->endpoint()) +
                     "\n",
                 Platform.endpoint())));
    Agents.back()->start();
  }

  void addEntry(std::size_t I, double LinkMbps) {
    Links.push_back(
        std::make_unique<Link>(Host, Platform.endpoint(), LinkMbps));
    http::Endpoint Callers = Host.freeEndpoint();
    Clients.push_back(std::make_unique<http::Client>(
        Host.Io, http::Client::Options{Callers, 500}));
    Entries.push_back(std::make_unique<Process>(
        Host, entryName(I), "fleet-entry",
        settings(entryName(I),
                 "callers = " + http::toString(Callers) + "\nreadiness = " +
                     http::toString(Host.freeEndpoint()) + "\n",
                 "", Links.back()->endpoint())));
    Entries.back()->start();
  }

  void call(std::size_t Entry, const std::string &Method,
            const std::string &Job, std::string Body, const Response &Done) {
    std::string Line = Method + " /queue/" + Job + " at " + entryName(Entry);
    Host.record("caller", "sends " + Line);
    Clients.at(Entry)->send(
        {Method,
         "/queue/" + Job,
         {{"X-Deadline-Ms", "3000"}, {"Content-Type", "application/json"}},
         std::move(Body)},
        Millis(3000),
        [this, Line, Done](const http::Response &Answer,
                           const std::exception_ptr &Failure) {
          int Status = Failure ? 0 : Answer.Status;
          Host.record("caller", Line + " -> " +
                                    (Failure ? "no answer"
                                             : std::to_string(Status) + " " +
                                                   Answer.Body));
          Done(Status,
               Failure ? json() : json::parse(Answer.Body, nullptr, false));
        });
  }

  std::vector<std::unique_ptr<Link>> Links;
  std::vector<std::unique_ptr<http::Client>> Clients;
};

} // namespace daisyspool::review

#endif // DAISYSPOOL_REVIEW_FLEET_H
