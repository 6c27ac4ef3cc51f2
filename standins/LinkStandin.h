#ifndef DAISYSPOOL_STANDINS_LINKSTANDIN_H
#define DAISYSPOOL_STANDINS_LINKSTANDIN_H

#include "LinkRoute.h"
#include "Standin.h"

namespace daisyspool {

/// Relay with any number of routes that injects network faults.
///
/// Routes are added, faults set and open connections silenced over HTTP; see
/// docs/standins.md. Thread safety: the I/O thread only.
class LinkStandin {
public:
  struct Route {
    http::Endpoint Listen;
    http::Endpoint To;
  };

  struct Options {
    http::Endpoint Control;
    std::vector<Route> Routes = {};
    std::uint64_t Seed = 1;
  };

  LinkStandin(boost::asio::io_context &Io, const Options &Config)
      : Io(Io), NextSeed(Config.Seed),
        HttpServer(Io, controlOptions(Config.Control),
                   [this](const http::Request &Received,
                          const std::shared_ptr<http::Exchange> &Answer) {
                     answerControl(*Answer,
                                   [&] { return controlCall(Received); });
                   }) {
    for (const Route &Each : Config.Routes)
      addRoute(Each);
  }
  LinkStandin(const LinkStandin &) = delete;
  LinkStandin &operator=(const LinkStandin &) = delete;
  ~LinkStandin() {
    for (const auto &Each : Routes)
      Each->close();
  }

  http::Endpoint control() const { return HttpServer.endpoint(); }

  /// The listening addresses, in the order of the options.
  std::vector<http::Endpoint> endpoints() const {
    std::vector<http::Endpoint> Result;
    for (const auto &Each : Routes)
      Result.push_back(Each->endpoint());

    return Result;
  }

private:
  using Json = nlohmann::json;

  void addRoute(const Route &Added) {
    Routes.push_back(std::make_shared<LinkRoute>(Io, Added.Listen, Added.To,
                                                 Defaults, NextSeed++));
    Routes.back()->start();
  }

  void removeRoute(const std::string &Name) {
    std::erase_if(Routes, [&](const auto &Candidate) {
      if (http::toString(Candidate->endpoint()) != Name)
        return false;
      Candidate->close();
      return true;
    });
  }

  Json controlCall(const http::Request &Received) {
    Json Arguments =
        Received.Method == "POST" ? Json::parse(Received.Body) : Json::object();
    if (Received.Target == "/standin/routes")
      return changeRoutes(Arguments);
    if (Received.Target == "/standin/faults")
      return changeFaults(Arguments);
    if (Received.Target == "/standin/silence")
      return silence(Arguments);

    throw StandinError("unknown control call " + Received.Target);
  }

  /// Returns the route that the call names, or all. Throws StandinError if no
  /// route has that address.
  std::vector<LinkRoute *> matchingRoutes(const Json &Arguments) {
    std::string Name = Arguments.value("route", "");
    std::vector<LinkRoute *> Result;
    for (const auto &Each : Routes)
      if (Name.empty() || http::toString(Each->endpoint()) == Name)
        Result.push_back(Each.get());
    if (Result.empty() && !Name.empty())
      throw StandinError("no route listens on " + Name);

    return Result;
  }

  Json changeRoutes(const Json &Arguments) {
    for (const std::string &Each :
         Arguments.value("remove", std::vector<std::string>()))
      removeRoute(Each);
    for (const Json &Each : Arguments.value("add", Json::array()))
      addRoute({parseListen(Each.at("listen")), parseListen(Each.at("to"))});

    return routeList();
  }

  Json changeFaults(Json Arguments) {
    auto Selected = matchingRoutes(Arguments);
    bool All = !Arguments.contains("route");
    Arguments.erase("route");
    LinkFaults Checked = Defaults;
    mergeFaults(Checked, Arguments);
    if (All)
      Defaults = Checked;

    for (LinkRoute *Each : Selected) {
      mergeFaults(Each->faults(), Arguments);
      Each->faultsChanged();
    }
    return routeList();
  }

  Json silence(const Json &Arguments) {
    std::size_t Count = 0;
    for (LinkRoute *Each : matchingRoutes(Arguments))
      Count += Each->silence();

    return {{"connections", Count}};
  }

  Json routeList() {
    Json Result = Json::array();
    for (const auto &Each : Routes)
      Result.push_back({{"listen", http::toString(Each->endpoint())},
                        {"to", http::toString(Each->target())},
                        {"faults", faultsToJson(Each->faults())}});

    return {{"routes", Result}};
  }

  boost::asio::io_context &Io;
  std::uint64_t NextSeed;
  LinkFaults Defaults;
  std::vector<std::shared_ptr<LinkRoute>> Routes;
  http::Server HttpServer;
};

} // namespace daisyspool

#endif // DAISYSPOOL_STANDINS_LINKSTANDIN_H
