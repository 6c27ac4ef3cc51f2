// Closed-loop load generator for one HTTP endpoint. scripts/path-bench.sh runs
// it directly against the target and through entry and agent, to measure the
// latency that they add.
//
//   path_client NAME ADDRESS:PORT PATH CONNECTIONS REQUESTS
//
// prints bench=path variant=NAME metric=... value=... lines.
#include "daisyspool/http/Client.h"

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

namespace {

using namespace daisyspool;
using SteadyClock = std::chrono::steady_clock;

class PathClient {
public:
  PathClient(boost::asio::io_context &Io, const http::Endpoint &Server,
             std::string Path, std::size_t Connections, std::size_t Requests)
      : Client(Io, {Server, Connections}), Path(std::move(Path)),
        RemainingRequests(Requests) {
    LatenciesUs.reserve(Requests);
    for (std::size_t Index = 0; Index < Connections; ++Index)
      sendNext();
  }

  std::vector<double> takeLatenciesUs() { return std::move(LatenciesUs); }
  std::size_t failures() const { return Failures; }

private:
  void sendNext() {
    if (RemainingRequests == 0)
      return;

    --RemainingRequests;
    auto Start = SteadyClock::now();
    http::Request Message{
        "POST",
        Path,
        {{"Daisyspool-Class", "urgent"}, {"Daisyspool-Timeout-Ms", "2000"}},
        "sample"};
    Client.send(std::move(Message), Millis(5000),
                [this, Start](const http::Response &Answer,
                              const std::exception_ptr &Failure) {
                  if (Failure || Answer.Status != 200)
                    ++Failures;
                  else
                    LatenciesUs.push_back(
                        std::chrono::duration<double, std::micro>(
                            SteadyClock::now() - Start)
                            .count());
                  sendNext();
                });
  }

  http::Client Client;
  std::string Path;
  std::size_t RemainingRequests;
  std::size_t Failures = 0;
  std::vector<double> LatenciesUs;
};

double quantile(const std::vector<double> &Sorted, double Fraction) {
  if (Sorted.empty())
    return 0;

  auto Index = static_cast<std::size_t>(Fraction *
                                        static_cast<double>(Sorted.size() - 1));
  return Sorted[Index];
}

} // namespace

int main(int Count, char **Arguments) {
  auto Server = Count == 6 ? http::parseEndpoint(Arguments[2]) : std::nullopt;
  if (!Server) {
    std::cerr << "usage: path_client NAME ADDRESS:PORT PATH CONNECTIONS "
                 "REQUESTS\n";
    return 2;
  }

  std::string Name = Arguments[1];
  boost::asio::io_context Io(1);
  auto Start = SteadyClock::now();
  PathClient Load(Io, *Server, Arguments[3],
                  std::strtoul(Arguments[4], nullptr, 10),
                  std::strtoul(Arguments[5], nullptr, 10));
  Io.run();
  double Seconds =
      std::chrono::duration<double>(SteadyClock::now() - Start).count();

  std::vector<double> LatenciesUs = Load.takeLatenciesUs();
  std::sort(LatenciesUs.begin(), LatenciesUs.end());
  auto Print = [&](const char *Metric, double Value) {
    std::cout << "bench=path variant=" << Name << " metric=" << Metric
              << " value=" << Value << '\n';
  };
  Print("p50_us", quantile(LatenciesUs, 0.5));
  Print("p99_us", quantile(LatenciesUs, 0.99));
  Print("p999_us", quantile(LatenciesUs, 0.999));
  Print("requests_per_second",
        static_cast<double>(LatenciesUs.size()) / std::max(Seconds, 1e-9));
  Print("failures", static_cast<double>(Load.failures()));
  return 0;
}
