// Network relay with delay, loss and silent connections, controlled over HTTP.
// See docs/standins.md.
#include "LinkStandin.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <vector>

ABSL_FLAG(std::string, control, "127.0.0.1:0", "ADDRESS:PORT for control");
ABSL_FLAG(std::vector<std::string>, routes, {},
          "LISTEN=TO for each route, both ADDRESS:PORT, separated by commas");
ABSL_FLAG(std::uint64_t, seed, 1, "Seed of jitter and loss");

int main(int Count, char **Arguments) {
  absl::ParseCommandLine(Count, Arguments);

  return daisyspool::runStandin([](boost::asio::io_context &Io) {
    using daisyspool::LinkStandin;
    using daisyspool::parseListen;
    LinkStandin::Options Config;
    Config.Control = parseListen(absl::GetFlag(FLAGS_control));
    Config.Seed = absl::GetFlag(FLAGS_seed);
    for (const std::string &Each : absl::GetFlag(FLAGS_routes)) {
      std::size_t Equals = Each.find('=');
      if (Equals == std::string::npos)
        throw daisyspool::StandinError("not LISTEN=TO: " + Each);
      Config.Routes.push_back({parseListen(Each.substr(0, Equals)),
                               parseListen(Each.substr(Equals + 1))});
    }

    auto Standin = std::make_unique<LinkStandin>(Io, Config);
    daisyspool::printReady("control", Standin->control());
    for (const auto &Each : Standin->endpoints())
      daisyspool::printReady("listening", Each);
    return Standin;
  });
}
