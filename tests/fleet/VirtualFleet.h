// Simulates entries, agents, workers and a store in virtual time, with faults
// that the test injects. The entries and agents are the product's own classes;
// the store, the workers and the network are simulated.
#ifndef DAISYSPOOL_TESTS_FLEET_VIRTUALFLEET_H
#define DAISYSPOOL_TESTS_FLEET_VIRTUALFLEET_H

#include "EvacuationOrders.h"
#include "daisyspool/http/Server.h"
#include "daisyspool/intake/intake.h"
#include "daisyspool/leadership/LeaderDuty.h"
#include "daisyspool/rows/ObservedStore.h"
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

  void start(runner::FencingToken Token, const TargetId &ExpectedId,
             const runner::WorkerStart &Start,
             std::function<void(runner::StartOutcome)> Done) override {
    sendOrder<runner::StartOutcome>(
        [&Target = Worker, Token, ExpectedId, Start] {
          return Target.start(Token, ExpectedId, Start);
        },
        std::move(Done));
  }
  void stop(runner::FencingToken Token, const TargetId &ExpectedId,
            const runner::RunName &Name,
            std::function<void(runner::OrderOutcome)> Done) override {
    sendOrder<runner::OrderOutcome>(
        [&Target = Worker, Token, ExpectedId, Name] {
          return Target.stop(Token, ExpectedId, Name);
        },
        std::move(Done));
  }
  void pace(runner::FencingToken, const TargetId &, const runner::RunName &,
            std::uint32_t,
            std::function<void(runner::OrderOutcome)> Done) override {
    sendOrder<runner::OrderOutcome>(
        [] { return runner::OrderOutcome(runner::Done{}); }, std::move(Done));
  }
  void hold(runner::FencingToken Token, const TargetId &ExpectedId,
            const runner::HoldRequest &Request,
            std::function<void(runner::HoldOutcome)> Done) override {
    // Polls every 20 ms until a run ends.
    auto EndCountBefore = std::make_shared<std::size_t>(Worker.endCount());
    waitForEnd(Loop, Worker, Alive, Token, ExpectedId, Request, EndCountBefore,
               Worker.life(), Loop.now() + Request.Wait, Done);
  }

private:
  static constexpr Millis Delay{1};
  static constexpr Millis NoAnswerAfter{400};

  static void waitForEnd(VirtualLoop &Loop, VirtualWorker &Worker,
                         const AliveFlag &Alive, runner::FencingToken Token,
                         const TargetId &ExpectedId,
                         const runner::HoldRequest &Request,
                         const std::shared_ptr<std::size_t> &EndCountBefore,
                         runner::WorkerLife ReceivedIn, TimePoint End,
                         const std::function<void(runner::HoldOutcome)> &Done) {
    // A call is lost when the life of the worker that received it ends.
    if (!Worker.up() || Worker.life() != ReceivedIn) {
      Loop.after(Request.Wait + NoAnswerAfter, [Alive, Done] {
        if (*Alive)
          Done(runner::NoWorkerAnswer{"worker is down"});
      });
      return;
    }
    auto Result = Worker.hold(Token, ExpectedId, Request);
    bool AnswersNow = Loop.now() >= End ||
                      Worker.endCount() != *EndCountBefore ||
                      !std::holds_alternative<runner::WorkerListing>(Result);
    if (AnswersNow && Worker.losesAnswer()) {
      Loop.after(NoAnswerAfter, [Alive, Done] {
        if (*Alive)
          Done(runner::NoWorkerAnswer{"lost"});
      });
      return;
    }
    if (!AnswersNow) {
      Loop.after(Millis(20), [&Loop, &Worker, Alive, Token, ExpectedId, Request,
                              EndCountBefore, ReceivedIn, End, Done] {
        waitForEnd(Loop, Worker, Alive, Token, ExpectedId, Request,
                   EndCountBefore, ReceivedIn, End, Done);
      });
      return;
    }
    Loop.after(Delay, [Alive, Done, Result] {
      if (*Alive)
        Done(Result);
    });
  }

  template <typename Outcome>
  void sendOrder(std::function<Outcome()> Execute,
                 std::function<void(Outcome)> Done) {
    double Draw = std::uniform_real_distribution<double>(0, 1)(Random);
    if (!Worker.up() || Draw < Worker.UnansweredShare) {
      // An order is lost when the life of the worker that received it ends.
      if (Worker.up())
        Loop.after(Millis(2000 + static_cast<int>(Draw * 8000)),
                   [Execute, &Target = Worker, ReceivedIn = Worker.life()] {
                     if (Target.up() && Target.life() == ReceivedIn)
                       Execute();
                   });
      Loop.after(NoAnswerAfter, [CallerAlive = Alive, Done] {
        if (*CallerAlive)
          Done(runner::NoWorkerAnswer{"silent"});
      });
      return;
    }
    // A worker that goes down before the order arrives neither executes nor
    // answers it.
    Loop.after(Delay, [this, CallerAlive = Alive, &Target = Worker,
                       ReceivedIn = Worker.life(), Execute, Done] {
      bool Arrives = Target.up() && Target.life() == ReceivedIn;
      std::optional<Outcome> Result;
      if (Arrives)
        Result = Execute();
      if (*CallerAlive && Result && !Target.losesAnswer()) {
        Done(*Result);
      } else if (*CallerAlive) {
        Loop.after(NoAnswerAfter, [CallerAlive, Done] {
          if (*CallerAlive)
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
    Config.Version = ConfigVersion(1);
    for (std::size_t I = 0; I < WorkerCount; ++I) {
      Workers.push_back(std::make_unique<VirtualWorker>(
          Loop, Invariants, "vm" + std::to_string(I), Capacity));
      Agents.emplace_back();
      CutOff.push_back(false);
      startAgent(I);
      announceRepeatedly(I);
    }
    for (std::size_t I = 0; I < EntryCount; ++I) {
      Entries.emplace_back();
      startEntry(I);
    }
  }

  /// One entry process.
  struct Entry {
    Entry(VirtualFleet &Owner, std::size_t Number)
        : Alive(std::make_shared<bool>(true)), Cpu(Owner.Loop, Alive),
          Connection(Owner.Store, "entry" + std::to_string(Number), Alive,
                     &Cpu),
          Store(Owner.Loop, Connection),
          Intake(Cpu, Owner.Loop, Store, Owner.Store.Limits, &Store.access()),
          Leader(
              Cpu, Owner.Loop, Store,
              [&Owner, this](const http::Endpoint &Agent) {
                return Owner.openChannel(Agent, Alive, Cpu);
              },
              options(Owner, Number)),
          Cleanup(Cpu, Owner.Loop, Store, {},
                  {[this] { return Leader.isLeading(); },
                   [this] { return Leader.storeVersion(); }}) {
      auto Set = Owner.TimePerEvent.find(Number);
      if (Set != Owner.TimePerEvent.end())
        Cpu.TimePerEvent = Set->second;
      Leader.configure(Owner.Config);
      if (Owner.EvacuationBound > Millis(0))
        OperatorWatch = std::make_unique<rows::TableWatch>(
            Cpu, Owner.Loop, Store,
            rows::TableWatch::Options{"op", {""}, Millis(1000), true},
            [this](const std::vector<rows::StoredRow> &Rows) {
              if (Evacuations.apply(Rows))
                Leader.evacuate(Evacuations.domains());
            });
    }
    ~Entry() { *Alive = false; }

    leadership::LeaderDuty::Options options(const VirtualFleet &Owner,
                                            std::size_t Number) const {
      leadership::LeaderDuty::Options Result;
      Result.Process = ProcessId("entry" + std::to_string(Number));
      Result.ProcessIncarnation =
          Incarnation(static_cast<std::uint64_t>(Owner.Loop.wallNow().count()));
      Result.Limits = Owner.Store.Limits;
      auto Set = Owner.Processors.find(Number);
      if (Set != Owner.Processors.end())
        Result.Processors = Set->second;
      Result.EvacuationBound = Owner.EvacuationBound;
      Result.EvacuationsAsOf = [this] { return OperatorWatch->currentAsOf(); };
      return Result;
    }

    AliveFlag Alive;
    VirtualProcessor Cpu;
    StoreConnection Connection;
    rows::ObservedStore Store;
    intake::JobIntake Intake;
    leadership::LeaderDuty Leader;
    intake::WithdrawalCleanup Cleanup;
    platform::EvacuationOrders Evacuations;
    std::unique_ptr<rows::TableWatch> OperatorWatch;
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

  /// Submits a job to the entry \p EntryIndex and records the answer.
  void submit(std::size_t EntryIndex, const workload::JobRecord &Job,
              Millis Work, bool Fails = false) {
    Invariants.submitted(Job, Work, Fails);
    if (!Entries[EntryIndex])
      return;
    auto AcceptedJob = Job;
    AcceptedJob.Accepted = Loop.wallNow();
    Entries[EntryIndex]->Intake.submit(
        AcceptedJob, Millis(2500),
        [this, Id = Job.Id](const intake::SubmitOutcome &Outcome) {
          if (std::holds_alternative<intake::Accepted>(Outcome))
            AcceptedJobs.insert(Id);
          SubmitAnswers.insert_or_assign(Id, Outcome);
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

  void cancel(std::size_t EntryIndex, const JobId &Job) {
    if (Entries[EntryIndex])
      Entries[EntryIndex]->Intake.cancel(
          Job, Millis(2500), [this, Job](const intake::CancelOutcome &Outcome) {
            CancelAnswers.insert_or_assign(Job, Outcome);
          });
  }

  /// Runs until all accepted jobs have the status \p Wanted, or for \p
  /// MaxDuration. Returns whether they have it.
  bool runUntilAll(scheduling::JobStatus Wanted, Duration MaxDuration) {
    TimePoint End = Loop.now() + MaxDuration;
    while (Loop.now() < End) {
      Loop.runFor(Millis(100));
      bool AllReached = true;
      for (const JobId &Job : AcceptedJobs)
        AllReached = AllReached && status(Job) == Wanted;
      if (AllReached)
        return true;
    }
    return false;
  }

  VirtualLoop Loop;
  std::mt19937_64 Random;
  Oracle Invariants;
  VirtualStore Store;
  workload::FleetConfig Config;
  /// By entry, its share of processors and its processor time for each event;
  /// both apply from the next start of the entry.
  std::map<std::size_t, MilliCores> Processors;
  std::map<std::size_t, Millis> TimePerEvent;
  /// Applies from the next start of an entry; without one entries do not follow
  /// the operator.
  Millis EvacuationBound{0};
  std::vector<std::unique_ptr<VirtualWorker>> Workers;
  std::vector<std::unique_ptr<VirtualAgent>> Agents;
  /// By agent, whether it is cut off from all entries.
  std::vector<bool> CutOff;
  std::vector<std::unique_ptr<Entry>> Entries;
  std::set<JobId> AcceptedJobs;
  std::set<JobId> RefusedJobs;
  /// The newest answers, by job.
  std::map<JobId, intake::SubmitOutcome> SubmitAnswers;
  std::map<JobId, intake::CancelOutcome> CancelAnswers;

private:
  /// Delivers a sync to the agent process that runs when the sync arrives.
  class Channel final : public leadership::AgentChannel {
  public:
    Channel(VirtualFleet &Owner, std::size_t AgentIndex, AliveFlag Alive,
            VirtualProcessor &Cpu)
        : Owner(Owner), AgentIndex(AgentIndex), Alive(std::move(Alive)),
          Cpu(Cpu) {}

    void
    exchange(const runner::SyncRequest &Request, Millis Timeout,
             std::function<void(leadership::SyncOutcome)> Handler) override {
      auto Done = Cpu.handled(std::move(Handler));
      auto Finished = std::make_shared<bool>(false);
      auto Finish = [CallerAlive = Alive, Finished,
                     Done](const leadership::SyncOutcome &Outcome) {
        if (*CallerAlive && !std::exchange(*Finished, true))
          Done(Outcome);
      };
      Owner.Loop.after(Timeout,
                       [Finish] { Finish(leadership::SyncFailed{"late"}); });
      // Encodes the messages, so that the codec is tested as well.
      std::string Bytes = runner::encode(Request);
      if (Bytes.size() > http::Server::Options{}.MaxBodyBytes) {
        Owner.Loop.after(2 * NetworkDelay,
                         [Finish] { Finish(leadership::SyncFailed{"413"}); });
        return;
      }
      Owner.Loop.after(NetworkDelay, [&Fleet = Owner, AgentIndex = AgentIndex,
                                      Bytes, Finish] {
        if (Fleet.CutOff[AgentIndex])
          return;
        if (!Fleet.Agents[AgentIndex])
          return Finish(leadership::SyncFailed{"refused"});
        Fleet.Agents[AgentIndex]->Session.sync(
            runner::decodeSyncRequest(Bytes),
            [&Fleet, AgentIndex, Finish](const runner::SyncReply &Reply) {
              std::string Answer = runner::encode(Reply);
              Fleet.Loop.after(NetworkDelay,
                               [&Fleet, AgentIndex, Finish, Answer] {
                                 if (!Fleet.CutOff[AgentIndex])
                                   Finish(runner::decodeSyncReply(Answer));
                               });
            });
      });
    }

  private:
    static constexpr Millis NetworkDelay{4};

    VirtualFleet &Owner;
    std::size_t AgentIndex;
    AliveFlag Alive;
    VirtualProcessor &Cpu;
  };

  std::unique_ptr<leadership::AgentChannel>
  openChannel(const http::Endpoint &Agent, const AliveFlag &Alive,
              VirtualProcessor &Cpu) {
    return std::make_unique<Channel>(*this, Agent.Port - 1000U, Alive, Cpu);
  }

  void announceRepeatedly(std::size_t I) {
    constexpr Millis Interval{1500};
    if (Agents[I] && Workers[I]->up())
      Agents[I]->Session.announce(Workers[I]->announcement());
    Loop.after(Interval, [this, I] { announceRepeatedly(I); });
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
