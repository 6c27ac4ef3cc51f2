// The platform's table service and object store, with faults that are set over
// HTTP. See docs/standins.md.
#include "PlatformStandin.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "ADDRESS:PORT to listen on");
ABSL_FLAG(std::string, key_file, "",
          "Credentials file; if set, unsigned calls are refused");
ABSL_FLAG(std::string, region, "us-east-1", "Region of the signatures");
ABSL_FLAG(std::uint64_t, seed, 1, "Seed of the random faults");

int main(int Count, char **Arguments) {
  absl::ParseCommandLine(Count, Arguments);

  return daisyspool::runStandin([](boost::asio::io_context &Io) {
    using daisyspool::PlatformStandin;
    PlatformStandin::Options Config;
    Config.Listen = daisyspool::parseListen(absl::GetFlag(FLAGS_listen));
    Config.Region = absl::GetFlag(FLAGS_region);
    Config.Seed = absl::GetFlag(FLAGS_seed);
    if (!absl::GetFlag(FLAGS_key_file).empty())
      Config.Key = daisyspool::readAccessKey(absl::GetFlag(FLAGS_key_file));

    auto Standin = std::make_unique<PlatformStandin>(Io, std::move(Config));
    daisyspool::printReady("listening", Standin->endpoint());
    return Standin;
  });
}
