// The platform's load balancer, with backends that are changed over HTTP. See
// docs/standins.md.
#include "BalancerStandin.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <vector>

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "ADDRESS:PORT for callers");
ABSL_FLAG(std::string, control, "127.0.0.1:0", "ADDRESS:PORT for control");
ABSL_FLAG(std::vector<std::string>, backends, {},
          "ADDRESS:PORT of the first backends, separated by commas");

int main(int Count, char **Arguments) {
  absl::ParseCommandLine(Count, Arguments);

  return daisyspool::runStandin([](boost::asio::io_context &Io) {
    using daisyspool::BalancerStandin;
    BalancerStandin::Options Config;
    Config.Listen = daisyspool::parseListen(absl::GetFlag(FLAGS_listen));
    Config.Control = daisyspool::parseListen(absl::GetFlag(FLAGS_control));
    for (const std::string &Each : absl::GetFlag(FLAGS_backends))
      Config.Backends.push_back(daisyspool::parseListen(Each));

    auto Standin = std::make_unique<BalancerStandin>(Io, Config);
    daisyspool::printReady("control", Standin->control());
    daisyspool::printReady("listening", Standin->endpoint());
    return Standin;
  });
}
