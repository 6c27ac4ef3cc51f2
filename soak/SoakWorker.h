// One worker over HTTP as the platform's documentation describes it, with the
// tasks and the lease of tests/fleet/VirtualWorker.h.
#ifndef DAISYSPOOL_SOAK_SOAKWORKER_H
#define DAISYSPOOL_SOAK_SOAKWORKER_H

#include "SoakStore.h"
#include "daisyspool/http/Client.h"
#include "fleet/VirtualFleet.h"

namespace daisyspool::soak {

using testing::Oracle;
using testing::VirtualWorker;

/// Thread safety: the I/O thread only.
class SoakWorker {
public:
  SoakWorker(boost::asio::io_context &Io, VirtualLoop &Loop,
             std::mt19937_64 &Random, Oracle &Checks, const std::string &Name,
             const http::Endpoint &Agent)
      : Tasks(Loop, Checks, Name,
              {MilliCores(8000), MebiBytes(32000), Accelerators(0)}),
        Loop(Loop), Random(Random), ToAgent(Io, {Agent}),
        HttpServer(
            Io, controlOptions({"127.0.0.1", 0}),
            [this](const http::Request &Received, const ExchangePtr &Answer) {
              serve(Received, Answer);
            }) {
    announce();
  }

  http::Endpoint endpoint() const { return HttpServer.endpoint(); }

  VirtualWorker Tasks;
  /// A run that started as its order arrived.
  struct PromptStart {
    TimePoint At{};
    JobId Job;
  };
  std::vector<PromptStart> PromptStarts;

private:
  static constexpr Millis AnnounceInterval{500};
  static constexpr Millis PollInterval{10};
  static constexpr int MinLateMs = 2000;
  static constexpr int MaxLateMs = 10000;

  void announce() {
    Loop.after(AnnounceInterval, [this] { announce(); });
    if (!Tasks.up())
      return;
    auto Announced = Tasks.announcement();
    const auto &Worker = Announced.Worker;
    json Body{{"service", Worker.Service.str()},
              {"address", http::toString(endpoint())},
              {"zone", Worker.FailureDomain.str()},
              {"version", "v1"},
              {"slots", 8},
              {"state", Worker.Draining ? "draining" : "ready"},
              {"cold_remaining_ms", 0},
              {"capacity",
               {{"cpu", Worker.Capacity.Cpu.value()},
                {"mem_mb", Worker.Capacity.Memory.value()},
                {"gpu", 0}}},
              {"labels", Worker.Labels},
              {"clock_ms", Tasks.clock().count()},
              {"born", Worker.Life.value()},
              {"sequence", Announced.Sequence.value()}};
    ToAgent.send({"POST",
                  "/-/instances/" + Worker.Id.str() + "/heartbeat",
                  {{"Content-Type", "application/json"}},
                  Body.dump()},
                 Millis(1000),
                 [](const http::Response &, const std::exception_ptr &) {});
  }

  void serve(const http::Request &Received, const ExchangePtr &Answer) {
    bool Late = std::uniform_real_distribution<double>(0, 1)(Random) <
                Tasks.UnansweredShare;
    if (!Tasks.up() || Late) {
      Unanswered.push_back(Answer);
      if (Late && Received.Target != "/-/hold")
        Loop.after(Millis(std::uniform_int_distribution<int>(
                       MinLateMs, MaxLateMs)(Random)),
                   [this, Received, Life = Tasks.life()] {
                     if (Tasks.up() && Tasks.life() == Life)
                       execute(Received);
                   });
      return;
    }
    try {
      if (Received.Target == "/-/hold")
        return hold(json::parse(Received.Body), expectedId(Received), Answer);
      std::size_t StartsBefore = Tasks.startsSince({});
      Answer->respond(execute(Received));
      if (Tasks.startsSince({}) > StartsBefore)
        PromptStarts.push_back({Loop.now(), jobOf(Received)});
    } catch (const json::exception &Problem) {
      Answer->respond(jsonResponse({{"detail", Problem.what()}}, 400));
    }
  }

  http::Response answer(int Status, const std::string &Reason = "") const {
    json Body{{"clock_ms", Tasks.clock().count()}};
    if (!Reason.empty())
      Body["reason"] = Reason;
    return jsonResponse(Body, Status);
  }

  static TargetId expectedId(const http::Request &Received) {
    return TargetId(
        http::findHeader(Received.Headers, "X-Expected-Instance").value_or(""));
  }

  /// The job of a command that was executed.
  static JobId jobOf(const http::Request &Received) {
    return workload::parseTaskName(
               json::parse(Received.Body).at("task").get<std::string>())
        ->Job;
  }

  /// Executes a start, stop or pace command; a pace has no effect.
  http::Response execute(const http::Request &Received) {
    json From = json::parse(Received.Body);
    runner::FencingToken Token(From.at("fencing_token").get<std::uint64_t>());
    TargetId Expected = expectedId(Received);
    auto Task = workload::parseTaskName(From.at("task").get<std::string>());
    if (!Task)
      return answer(400);
    runner::RunName Name{
        *Task, runner::RunNumber(From.at("run_id").get<std::uint64_t>())};
    if (Received.Target == "/-/run-start") {
      auto Outcome = Tasks.start(
          Token, Expected,
          {Name, From.at("spec"), From.value("checkpoint", ""),
           runner::WorkerClock(From.at("deadline_ms").get<std::int64_t>())});
      if (std::holds_alternative<runner::OtherLife>(Outcome))
        return answer(421);
      if (std::holds_alternative<runner::FencedOut>(Outcome))
        return answer(409, "fence");
      if (const auto *Refusal = std::get_if<runner::StartRefused>(&Outcome))
        return answer(409, Refusal->Reason == runner::RefusalReason::Old
                               ? "old"
                               : "late");
      return answer(200);
    }
    if (Received.Target != "/-/run-stop")
      return answer(200);
    auto Outcome = Tasks.stop(Token, Expected, Name);
    if (std::holds_alternative<runner::OtherLife>(Outcome))
      return answer(421);
    if (std::holds_alternative<runner::FencedOut>(Outcome))
      return answer(409, "fence");
    return answer(200);
  }

  void hold(const json &From, const TargetId &Expected,
            const ExchangePtr &Answer) {
    runner::HoldRequest Request;
    if (From.contains("deadline_ms"))
      Request.LeaseEnd =
          runner::WorkerClock(From.at("deadline_ms").get<std::int64_t>());
    Request.EndsRecorded =
        runner::EndNumber(From.at("last_seen").get<std::uint64_t>());
    runner::FencingToken Token(From.at("fencing_token").get<std::uint64_t>());
    wait(Token, Expected, Request,
         Loop.now() + Millis(From.value("wait_ms", 0)), Tasks.endCount(),
         Tasks.life(), Answer);
  }

  void wait(runner::FencingToken Token, const TargetId &Expected,
            const runner::HoldRequest &Request, TimePoint End,
            std::size_t EndsBefore, runner::WorkerLife Life,
            const ExchangePtr &Answer) {
    if (!Tasks.up() || Tasks.life() != Life) {
      Unanswered.push_back(Answer);
      return;
    }
    auto Outcome = Tasks.hold(Token, Expected, Request);
    if (std::holds_alternative<runner::OtherLife>(Outcome))
      return Answer->respond(answer(421));
    const auto *Listing = std::get_if<runner::WorkerListing>(&Outcome);
    if (!Listing)
      return Answer->respond(answer(409, "fence"));
    if (Loop.now() >= End || Tasks.endCount() != EndsBefore)
      return Answer->respond(jsonResponse(toJson(*Listing)));
    Loop.after(PollInterval,
               [this, Token, Expected, Request, End, EndsBefore, Life, Answer] {
                 wait(Token, Expected, Request, End, EndsBefore, Life, Answer);
               });
  }

  static const char *causeText(runner::EndCause Cause) {
    switch (Cause) {
    case runner::EndCause::Done:
      return "done";
    case runner::EndCause::Failed:
      return "failed";
    case runner::EndCause::Stopped:
      return "stopped";
    case runner::EndCause::Lapsed:
      return "lapsed";
    case runner::EndCause::Broken:
      return "broken";
    case runner::EndCause::Alone:
      return "alone";
    }
    return "failed";
  }

  static json toJson(const runner::WorkerListing &Listing) {
    json Result{{"clock_ms", Listing.Clock.count()},
                {"born", Listing.Life.value()},
                {"running", json::array()},
                {"finished", json::array()}};
    for (const auto &Task : Listing.Running)
      Result["running"].push_back({workload::toString(Task.Name.Task),
                                   Task.Name.Run.value(), Task.Checkpoint,
                                   Task.Percent, Task.Load});
    for (const auto &End : Listing.Ended)
      Result["finished"].push_back(
          {End.Number.value(), workload::toString(End.Name.Task),
           End.Name.Run.value(), causeText(End.Cause), End.Checkpoint});
    return Result;
  }

  VirtualLoop &Loop;
  std::mt19937_64 &Random;
  http::Client ToAgent;
  /// Calls that are never answered.
  std::vector<ExchangePtr> Unanswered;
  http::Server HttpServer;
};

} // namespace daisyspool::soak

#endif // DAISYSPOOL_SOAK_SOAKWORKER_H
