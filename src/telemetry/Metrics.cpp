#include "daisyspool/telemetry/Metrics.h"

#include <prometheus/text_serializer.h>

#include <mutex>
#include <set>

namespace daisyspool {

namespace {

constexpr std::size_t MaxTeamLabels = 100;

const prometheus::Histogram::BucketBoundaries SecondBuckets{
    0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05,
    0.1,    0.25,  0.5,    1,     2.5,  5,     10};

} // namespace

class Metrics::Impl {
public:
  prometheus::Registry Registry;
  std::mutex Mutex;
  std::map<std::string, prometheus::Family<prometheus::Counter> *> Counters;
  std::map<std::string, prometheus::Family<prometheus::Gauge> *> Gauges;
  std::map<std::string, prometheus::Family<prometheus::Histogram> *> Histograms;
  std::set<std::string> Teams;
};

Metrics::Metrics() : State(std::make_unique<Impl>()) {}

Metrics::~Metrics() = default;

prometheus::Counter &Metrics::counter(const std::string &Name,
                                      const std::string &Help,
                                      const Labels &LabelValues) {
  std::lock_guard Lock(State->Mutex);
  auto &Family = State->Counters[Name];
  if (Family == nullptr)
    Family = &prometheus::BuildCounter().Name(Name).Help(Help).Register(
        State->Registry);

  return Family->Add(LabelValues);
}

prometheus::Gauge &Metrics::gauge(const std::string &Name,
                                  const std::string &Help,
                                  const Labels &LabelValues) {
  std::lock_guard Lock(State->Mutex);
  auto &Family = State->Gauges[Name];
  if (Family == nullptr)
    Family = &prometheus::BuildGauge().Name(Name).Help(Help).Register(
        State->Registry);

  return Family->Add(LabelValues);
}

prometheus::Histogram &Metrics::secondsHistogram(const std::string &Name,
                                                 const std::string &Help,
                                                 const Labels &LabelValues) {
  std::lock_guard Lock(State->Mutex);
  auto &Family = State->Histograms[Name];
  if (Family == nullptr)
    Family = &prometheus::BuildHistogram().Name(Name).Help(Help).Register(
        State->Registry);

  return Family->Add(LabelValues, SecondBuckets);
}

std::string Metrics::teamLabel(const TeamId &Team) {
  std::lock_guard Lock(State->Mutex);
  if (State->Teams.contains(Team.str()))
    return Team.str();
  if (State->Teams.size() >= MaxTeamLabels)
    return "other";

  State->Teams.insert(Team.str());
  return Team.str();
}

std::string Metrics::text() const {
  return prometheus::TextSerializer().Serialize(State->Registry.Collect());
}

} // namespace daisyspool
