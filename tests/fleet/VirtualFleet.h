// Entries, agents, workers and a store in virtual time, with faults that the
// test injects. Drives the product's own classes; nothing of them is faked.
#ifndef DAISYSPOOL_TESTS_FLEET_VIRTUALFLEET_H
#define DAISYSPOOL_TESTS_FLEET_VIRTUALFLEET_H

#include "daisyspool/intake/intake.h"
#include "daisyspool/leadership/LeaderDuty.h"
#include "fleet/VirtualWorker.h"

namespace daisyspool::testing {

inline TaskBehaviour Oracle::behaviour(const JobId &Job) const {
  const Submitted &Known = Jobs.at(Job);
  return {Known.Work, Known.Fails};
}

/// Passes an agent's orders to its worker; some get no answer and are carried
/// out seconds later.
class WorkerConnection final : public runner::WorkerPort {
public:
  WorkerConnection(VirtualLoop &Loop, std::mt19937_64 &Random,
                   VirtualWorker &Worker, const AliveFlag &Alive)
      : Loop(Loop), Random(Random), Worker(Worker), Alive(Alive) {}

  void start(runner::FencingToken Token, const TargetId &For,
             const runner::WorkerStart &What,
             std::function<void(runner::StartOutcome)> Done) override {
    order<runner::StartOutcome>(
        [&W = Worker, Token, For, What] { return W.start(Token, For, What); },
        std::move(Done));
  }
  void stop(runner::FencingToken Token, const TargetId &For,
            const runner::RunName &What,
            std::function<void(runner::OrderOutcome)> Done) override {
    order<runner::OrderOutcome>(
        [&W = Worker, Token, For, What] { return W.stop(Token, For, What); },
        std::move(Done));
  }
  void pace(runner::FencingToken, const TargetId &, const runner::RunName &,
            std::uint32_t,
            std::function<void(runner::OrderOutcome)> Done) override {
    order<runner::OrderOutcome>(
        [] { return runner::OrderOutcome(runner::Done{}); }, std::move(Done));
  }
  void hold(runner::FencingToken Token, const TargetId &,
            const runner::HoldRequest &What,
            std::function<void(runner::HoldOutcome)> Done) override {
    // Waits in steps of 20 ms for an end.
    auto Before = std::make_shared<std::size_t>(Worker.endCount());
    waitForEnd(Loop, Worker, Alive, Token, What, Before, Worker.life(),
               Loop.now() + What.Wait, Done);
  }

private:
  static constexpr Millis Delay{1};
  static constexpr Millis NoAnswerAfter{400};

  static void waitForEnd(VirtualLoop &Loop, VirtualWorker &Worker,
                         const AliveFlag &Alive, runner::FencingToken Token,
                         const runner::HoldRequest &What,
                         const std::shared_ptr<std::size_t> &Before,
                         runner::WorkerLife Of, TimePoint End,
                         const std::function<void(runner::HoldOutcome)> &Done) {
    // A call dies with the life that received it.
    if (!Worker.up() || Worker.life() != Of) {
      Loop.after(What.Wait + NoAnswerAfter, [Alive, Done] {
        if (*Alive)
          Done(runner::NoWorkerAnswer{"dark"});
      });
      return;
    }
    auto First = Worker.hold(Token, What);
    bool Ready = Loop.now() >= End || Worker.endCount() != *Before ||
                 std::holds_alternative<runner::FencedOut>(First);
    if (Ready && Worker.losesAnswer()) {
      Loop.after(NoAnswerAfter, [Alive, Done] {
        if (*Alive)
          Done(runner::NoWorkerAnswer{"lost"});
      });
      return;
    }
    if (!Ready) {
      Loop.after(Millis(20), [&Loop, &Worker, Alive, Token, What, Before, Of,
                              End, Done] {
        waitForEnd(Loop, Worker, Alive, Token, What, Before, Of, End, Done);
      });
      return;
    }
    Loop.after(Delay, [Alive, Done, First] {
      if (*Alive)
        Done(First);
    });
  }

  template <typename Outcome>
  void order(std::function<Outcome()> Act, std::function<void(Outcome)> Done) {
    double Draw = std::uniform_real_distribution<double>(0, 1)(Random);
    if (!Worker.up() || Draw < Worker.UnansweredShare) {
      // An order dies with the life that received it.
      if (Worker.up())
        Loop.after(Millis(2000 + static_cast<int>(Draw * 8000)),
                   [Act, &W = Worker, Of = Worker.life()] {
                     if (W.up() && W.life() == Of)
                       Act();
                   });
      Loop.after(NoAnswerAfter, [A = Alive, Done] {
        if (*A)
          Done(runner::NoWorkerAnswer{"silent"});
      });
      return;
    }
    // A worker that dies before the order arrives neither acts nor answers.
    Loop.after(Delay,
               [this, A = Alive, &W = Worker, Of = Worker.life(), Act, Done] {
                 bool Arrives = W.up() && W.life() == Of;
                 std::optional<Outcome> Result;
                 if (Arrives)
                   Result = Act();
                 if (*A && Result && !W.losesAnswer()) {
                   Done(*Result);
                 } else if (*A) {
                   Loop.after(NoAnswerAfter, [A, Done] {
                     if (*A)
                       Done(runner::NoWorkerAnswer{"silent"});
                   });
                 }
               });
  }

  VirtualLoop &Loop;
  std::mt19937_64 &Random;
  VirtualWorker &Worker;
  AliveFlag Alive;
};

/// One agent process beside one worker.
struct VirtualAgent {
  VirtualAgent(VirtualLoop &Loop, std::mt19937_64 &Random, VirtualStore &Store,
               VirtualWorker &Worker, const std::string &Name,
               const std::string &Address)
      : Alive(std::make_shared<bool>(true)), Port(Loop, Random, Worker, Alive),
        Session(Loop, Loop, Port,
                {static_cast<std::uint64_t>(Loop.wallNow().count()),
                 Millis(6000), Millis(200)}) {
    rows::RowTransaction Write;
    Write.Puts.push_back({intake::agentRow(VmId(Name)), Address});
    Store.apply(Write);
  }
  ~VirtualAgent() { *Alive = false; }

  AliveFlag Alive;
  WorkerConnection Port;
  runner::AgentSession Session;
};

class VirtualFleet {
public:
  VirtualFleet(std::uint64_t Seed, std::size_t EntryCount,
               std::size_t WorkerCount,
               Resources Capacity = {MilliCores(8000), MebiBytes(32000), {}})
      : Random(Seed), Store(Loop, Random) {
    Fleet.Version = ConfigVersion(1);
    for (std::size_t I = 0; I < WorkerCount; ++I) {
      Workers.push_back(std::make_unique<VirtualWorker>(
          Loop, Watch, "vm" + std::to_string(I), Capacity));
      Agents.emplace_back();
      Cut.push_back(false);
      startAgent(I);
      beat(I);
    }
    for (std::size_t I = 0; I < EntryCount; ++I) {
      Entries.emplace_back();
      startEntry(I);
    }
  }

  /// One entry process.
  struct Entry {
    Entry(VirtualFleet &Owner, std::size_t Number)
        : Alive(std::make_shared<bool>(true)),
          Store(Owner.Store, "entry" + std::to_string(Number), Alive),
          Intake(Owner.Loop, Owner.Loop, Store),
          Leader(
              Owner.Loop, Owner.Loop, Store,
              [&Owner, A = Alive](const http::Endpoint &Agent) {
                return Owner.open(Agent, A);
              },
              options(Owner, Number)) {
      Leader.configure(Owner.Fleet);
    }
    ~Entry() { *Alive = false; }

    static leadership::LeaderDuty::Options options(VirtualFleet &Owner,
                                                   std::size_t Number) {
      leadership::LeaderDuty::Options Result;
      Result.Process = ProcessId("entry" + std::to_string(Number));
      Result.ProcessIncarnation =
          Incarnation(static_cast<std::uint64_t>(Owner.Loop.wallNow().count()));
      return Result;
    }

    AliveFlag Alive;
    StoreConnection Store;
    intake::JobIntake Intake;
    leadership::LeaderDuty Leader;
  };

  void startEntry(std::size_t I) {
    Entries[I] = std::make_unique<Entry>(*this, I);
  }
  void killEntry(std::size_t I) { Entries[I].reset(); }
  void startAgent(std::size_t I) {
    Agents[I] = std::make_unique<VirtualAgent>(
        Loop, Random, Store, *Workers[I], "vm" + std::to_string(I),
        "10.0.0.1:" + std::to_string(1000 + I));
  }
  void killAgent(std::size_t I) { Agents[I].reset(); }

  /// The entry that leads, or the count of entries.
  std::size_t leader() const {
    for (std::size_t I = 0; I < Entries.size(); ++I)
      if (Entries[I] && Entries[I]->Leader.isLeading())
        return I;
    return Entries.size();
  }

  /// Submits through \p Through and remembers the answer.
  void submit(std::size_t Through, const workload::JobRecord &Job, Millis Work,
              bool Fails = false) {
    Watch.submitted(Job, Work, Fails);
    if (!Entries[Through])
      return;
    auto Stamped = Job;
    Stamped.Accepted = Loop.wallNow();
    Entries[Through]->Intake.submit(
        Stamped, Millis(2500),
        [this, Id = Job.Id](const intake::SubmitOutcome &Outcome) {
          if (std::holds_alternative<intake::Accepted>(Outcome))
            AcceptedJobs.insert(Id);
          if (std::holds_alternative<intake::Refused>(Outcome))
            RefusedJobs.insert(Id);
        });
  }

  /// The stored status, read without faults; nothing for an unknown job.
  std::optional<scheduling::JobStatus> status(const JobId &Job) const {
    auto Progress = Store.page(singleRowRange(intake::progressRow(Job)));
    if (!Progress.Rows.empty())
      return scheduling::decodeStatus(Progress.Rows.front().Value);
    if (!Store.page(singleRowRange(intake::jobRow(Job))).Rows.empty())
      return scheduling::JobStatus::Queued;
    return std::nullopt;
  }

  void cancel(std::size_t Through, const JobId &Job) {
    if (Entries[Through])
      Entries[Through]->Intake.cancel(Job, Millis(2500),
                                      [](const intake::CancelOutcome &) {});
  }

  /// Runs until all accepted jobs have the status \p Wanted, or \p Bound.
  bool runUntilAll(scheduling::JobStatus Wanted, Duration Bound) {
    TimePoint End = Loop.now() + Bound;
    while (Loop.now() < End) {
      Loop.runFor(Millis(100));
      bool All = true;
      for (const JobId &Job : AcceptedJobs)
        All = All && status(Job) == Wanted;
      if (All)
        return true;
    }
    return false;
  }

  VirtualLoop Loop;
  std::mt19937_64 Random;
  Oracle Watch;
  VirtualStore Store;
  workload::FleetConfig Fleet;
  std::vector<std::unique_ptr<VirtualWorker>> Workers;
  std::vector<std::unique_ptr<VirtualAgent>> Agents;
  /// Agents that no entry reaches.
  std::vector<bool> Cut;
  std::vector<std::unique_ptr<Entry>> Entries;
  std::set<JobId> AcceptedJobs;
  std::set<JobId> RefusedJobs;

private:
  /// A channel that reaches the agent process that lives when a sync arrives.
  class Channel final : public leadership::AgentChannel {
  public:
    Channel(VirtualFleet &Owner, std::size_t Agent, AliveFlag Alive)
        : Owner(Owner), Agent(Agent), Alive(std::move(Alive)) {}

    void exchange(const runner::SyncRequest &What, Millis Timeout,
                  std::function<void(leadership::SyncOutcome)> Done) override {
      auto Settled = std::make_shared<bool>(false);
      auto Finish = [A = Alive, Settled,
                     Done](const leadership::SyncOutcome &Outcome) {
        if (*A && !std::exchange(*Settled, true))
          Done(Outcome);
      };
      Owner.Loop.after(Timeout,
                       [Finish] { Finish(leadership::SyncFailed{"late"}); });
      // The codec is part of what is tested.
      std::string Bytes = runner::encode(What);
      Owner.Loop.after(Hop, [&Fleet = Owner, I = Agent, Bytes, Finish] {
        if (Fleet.Cut[I])
          return;
        if (!Fleet.Agents[I])
          return Finish(leadership::SyncFailed{"refused"});
        Fleet.Agents[I]->Session.sync(
            runner::decodeSyncRequest(Bytes),
            [&Fleet, I, Finish](const runner::SyncReply &Reply) {
              std::string Answer = runner::encode(Reply);
              Fleet.Loop.after(Hop, [&Fleet, I, Finish, Answer] {
                if (!Fleet.Cut[I])
                  Finish(runner::decodeSyncReply(Answer));
              });
            });
      });
    }

  private:
    static constexpr Millis Hop{4};

    VirtualFleet &Owner;
    std::size_t Agent;
    AliveFlag Alive;
  };

  std::unique_ptr<leadership::AgentChannel> open(const http::Endpoint &Agent,
                                                 const AliveFlag &Alive) {
    return std::make_unique<Channel>(*this, Agent.Port - 1000U, Alive);
  }

  void beat(std::size_t I) {
    constexpr Millis Interval{1500};
    if (Agents[I] && Workers[I]->up())
      Agents[I]->Session.announce(Workers[I]->announcement());
    Loop.after(Interval, [this, I] { beat(I); });
  }
};

/// A job of \p Steps equal steps in a chain.
inline workload::JobRecord chainJob(const std::string &Id, std::uint32_t Steps,
                                    std::uint32_t Width,
                                    std::int64_t Cpu = 1000) {
  workload::JobRecord Job;
  Job.Id = JobId(Id);
  Job.Policy = {workload::QueueId("queue"),
                ServiceId("service"),
                0,
                3,
                2.0,
                Millis(1000)};
  for (std::uint32_t I = 0; I < Steps; ++I) {
    workload::StepDefinition Step;
    Step.Count = Width;
    Step.Needs = {MilliCores(Cpu), MebiBytes(100), {}};
    Step.Estimate = Millis(500);
    if (I > 0)
      Step.After = {I - 1};
    Job.Definition.Steps.push_back(Step);
  }
  return Job;
}

} // namespace daisyspool::testing

#endif // DAISYSPOOL_TESTS_FLEET_VIRTUALFLEET_H
