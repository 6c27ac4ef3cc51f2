// Workers with fake tasks, with faults that are set over HTTP. See
// docs/standins.md.
#include "WorkerStandin.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <vector>

ABSL_FLAG(std::string, listen, "127.0.0.1:0",
          "ADDRESS:PORT of the first worker; the others take the next ports");
ABSL_FLAG(int, workers, 1, "Number of workers in this process");
ABSL_FLAG(std::string, objects, "",
          "ADDRESS:PORT of the object store for checkpoints; empty keeps them "
          "in this process");
ABSL_FLAG(int, milli_cores, 16000, "Processors of each VM");
ABSL_FLAG(int, mebi_bytes, 64000, "Memory of each VM");
ABSL_FLAG(int, accelerators, 0, "Accelerators of each VM");

namespace {

using daisyspool::WorkerStandin;
using Workers = std::vector<std::unique_ptr<WorkerStandin>>;

Workers startAll(boost::asio::io_context &Io) {
  WorkerStandin::Options Config;
  Config.Listen = daisyspool::parseListen(absl::GetFlag(FLAGS_listen));
  Config.Capacity = {
      daisyspool::MilliCores(absl::GetFlag(FLAGS_milli_cores)),
      daisyspool::MebiBytes(absl::GetFlag(FLAGS_mebi_bytes)),
      daisyspool::Accelerators(absl::GetFlag(FLAGS_accelerators))};
  if (!absl::GetFlag(FLAGS_objects).empty())
    Config.Objects = daisyspool::parseListen(absl::GetFlag(FLAGS_objects));

  Workers Result;
  for (int Each = 0; Each < absl::GetFlag(FLAGS_workers); ++Each) {
    Result.push_back(std::make_unique<WorkerStandin>(Io, Config));
    daisyspool::printReady("listening", Result.back()->endpoint());
    if (Config.Listen.Port != 0)
      ++Config.Listen.Port;
  }

  return Result;
}

} // namespace

int main(int Count, char **Arguments) {
  absl::ParseCommandLine(Count, Arguments);

  return daisyspool::runStandin(startAll);
}
