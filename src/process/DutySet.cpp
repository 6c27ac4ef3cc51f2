#include "daisyspool/process/DutySet.h"

#include "daisyspool/telemetry/Log.h"

#include <caf/actor_system.hpp>
#include <caf/actor_system_config.hpp>
#include <caf/blocking_actor.hpp>
#include <caf/scoped_actor.hpp>
#include <caf/system_messages.hpp>

#include <atomic>
#include <cassert>
#include <vector>

namespace daisyspool {

namespace {

/// Limits the scheduler of CAF to one thread: every duty is detached and does
/// not use it, but by default it would start a thread for each core.
caf::actor_system_config &
limitSchedulerThreads(caf::actor_system_config &ActorConfig) {
  ActorConfig.set("scheduler.max-threads", 1);
  return ActorConfig;
}

} // namespace

class DutySet::Impl {
public:
  Impl() : System(limitSchedulerThreads(Config)), Supervisor(System) {}

  void add(std::string Name, std::function<void()> Run,
           std::function<void()> Stop) {
    Stops.push_back(std::move(Stop));
    ++Running;
    caf::actor Duty = System.spawn<caf::detached>(
        [this, Name = std::move(Name),
         Run = std::move(Run)](caf::blocking_actor *) { run(Name, Run); });
    Supervisor->monitor(Duty);
  }

  void requestStop() {
    if (StopRequested.exchange(true))
      return;

    for (const auto &Stop : Stops)
      Stop();
  }

  bool wait() {
    Supervisor->receive_while([this] { return Running > 0; })(
        [this](const caf::down_msg &) {
          --Running;
          if (Failed)
            requestStop();
        });
    return !Failed;
  }

  bool idle() const { return Running == 0; }

private:
  void run(const std::string &Name, const std::function<void()> &Run) {
    try {
      Run();
    } catch (const std::exception &Problem) {
      Failed = true;
      LogEvent(LogLevel::Error, "duty_failed")
          .with("duty", Name)
          .with("detail", Problem.what());
    }
  }

  caf::actor_system_config Config;
  caf::actor_system System;
  caf::scoped_actor Supervisor;
  std::vector<std::function<void()>> Stops;
  int Running = 0;
  std::atomic<bool> Failed{false};
  std::atomic<bool> StopRequested{false};
};

DutySet::DutySet() : State(std::make_unique<Impl>()) {}

DutySet::~DutySet() { assert(State->idle()); }

void DutySet::add(std::string Name, std::function<void()> Run,
                  std::function<void()> Stop) {
  State->add(std::move(Name), std::move(Run), std::move(Stop));
}

void DutySet::requestStop() { State->requestStop(); }

bool DutySet::wait() { return State->wait(); }

} // namespace daisyspool
