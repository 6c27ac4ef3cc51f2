#include "daisyspool/entry/RequestMetrics.h"

#include <chrono>

namespace daisyspool {

RequestMetrics::RequestMetrics(Metrics &Registry)
    : Registry(Registry),
      ExtraAttempts(Registry.counter("daisyspool_extra_attempts_total",
                                     "Retries and hedges sent to targets")) {
  for (std::size_t Index = 0; Index < WorkClassCount; ++Index) {
    Metrics::Labels Class{{"class", toString(static_cast<WorkClass>(Index))}};
    Served[Index] = &Registry.counter("daisyspool_requests_served_total",
                                      "Requests answered by a target", Class);
    Seconds[Index] = &Registry.secondsHistogram(
        "daisyspool_request_seconds",
        "Time from a request's arrival to its whole answer", Class);
  }
}

void RequestMetrics::countServed(WorkClass Class, Duration Took) {
  auto Index = static_cast<std::size_t>(Class);
  Served[Index]->Increment();
  Seconds[Index]->Observe(std::chrono::duration<double>(Took).count());
}

void RequestMetrics::countProblem(WorkClass Class, const std::string &Type) {
  Registry
      .counter("daisyspool_requests_refused_total",
               "Requests that ended with a problem",
               {{"class", toString(Class)}, {"problem", Type}})
      .Increment();
}

void RequestMetrics::countBadRequest(const std::string &Reason) {
  Registry
      .counter("daisyspool_bad_input_total",
               "Requests that could not be read or understood",
               {{"reason", Reason}})
      .Increment();
}

} // namespace daisyspool
