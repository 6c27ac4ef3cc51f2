// The cases of the review: what the callers do, and the disruption.
#ifndef DAISYSPOOL_REVIEW_CASES_H
#define DAISYSPOOL_REVIEW_CASES_H

#include "Fleet.h"

#include <boost/asio/signal_set.hpp>

namespace daisyspool::review {

/// Thrown if a case could not run as intended.
class NotRun : public std::runtime_error {
  using std::runtime_error::runtime_error;
};

inline std::string jobId(int Number) {
  std::string Digits = std::to_string(Number);
  return std::string(16 - Digits.size(), '0') + Digits;
}

/// A step of \p Count equal tasks.
inline json step(std::size_t Count, int MilliCores, int EstimateMs) {
  return {{"count", Count},
          {"cpu", MilliCores},
          {"mem_mb", 10},
          {"estimated_ms", EstimateMs}};
}

inline std::string workSpec(int Millis) {
  return "work_ms=" + std::to_string(Millis);
}

/// What all cases share: the deployment and the time after which to judge.
class Case {
public:
  Case(Harness &Host, const Fleet::Options &Size)
      : Host(Host), Subject(Host, Size) {}
  Case(const Case &) = delete;
  Case &operator=(const Case &) = delete;
  virtual ~Case() = default;

  /// Returns the exit status.
  int play() {
    Host.after(StartupTime, [this] { begin(); });
    Host.after(MaxPlayTime, [this] { fail("not over in time"); });
    StopSignals.async_wait([this](boost::system::error_code Failure, int) {
      if (!Failure)
        fail("stopped by a signal");
    });
    Host.Io.run();
    if (!Problem.empty())
      throw NotRun(Problem);
    Host.record("result",
                std::to_string(Host.Broken) + " broken, " +
                    std::to_string(Subject.Rules.Starts) + " starts, " +
                    std::to_string(Subject.Rules.doneCount()) + " tasks done");
    return Host.Broken > 0 ? 1 : 0;
  }

protected:
  static constexpr Millis StartupTime{6000};
  static constexpr Millis MaxPlayTime{112000};

  virtual void begin() = 0;

  void finishAfter(Millis Delay) {
    Host.after(Delay, [this] { Host.Io.stop(); });
  }
  void fail(const std::string &Detail) {
    Problem = Detail;
    Host.Io.stop();
  }

  Harness &Host;
  Fleet Subject;

private:
  boost::asio::signal_set StopSignals{Host.Io, SIGTERM, SIGINT};
  std::string Problem;
};

/// Hundreds of short tasks on one worker end while the store is down.
class ManyEnds final : public Case {
public:
  ManyEnds(Harness &Host, bool Trouble)
      : Case(Host, {3, 2, 16000}), Trouble(Trouble) {}

private:
  static constexpr int Jobs = 7;
  static constexpr int TasksPerJob = 100;
  static constexpr Millis JobInterval{400};
  static constexpr int WorkMs = 9000;
  static constexpr Millis OutageAt{8900};
  static constexpr Millis OutageTime{4500};
  static constexpr Millis PlayTime{32000};

  void begin() override {
    submitNext(0);
    if (Trouble)
      Host.after(OutageAt, [this] { outage(); });
    finishAfter(PlayTime);
  }

  static int workMs(int Number) {
    return WorkMs - Number * static_cast<int>(JobInterval.count());
  }

  void submitNext(int Number) {
    if (Number == Jobs)
      return;
    Subject.submit(static_cast<std::size_t>(Number) % 3,
                   {jobId(Number),
                    workSpec(workMs(Number)),
                    {step(TasksPerJob, 10, workMs(Number))}},
                   [](int, const json &) {});
    Host.after(JobInterval, [this, Number] { submitNext(Number + 1); });
  }

  void outage() {
    Host.record("store", "down");
    Subject.Platform.Busy = true;
    Host.after(OutageTime, [this] {
      Host.record("store", "up");
      Subject.Platform.Busy = false;
    });
  }

  bool Trouble;
};

/// A job whose many tasks have a long text.
class LongTexts final : public Case {
public:
  LongTexts(Harness &Host, bool Trouble)
      : Case(Host, {3, 3, 16000}), Trouble(Trouble) {}

private:
  static constexpr std::size_t SpecBytes = 4000;
  static constexpr std::size_t Tasks = 1200;
  static constexpr Millis BigJobAt{5000};
  static constexpr Millis FinishTime{14000};
  static constexpr Millis IdleTime{3000};
  static constexpr Millis PlayTime{40000};

  void begin() override {
    json Step = step(6, 1000, 500);
    Step["long_running"] = true;
    Subject.submit(0, {jobId(1), "lasts", {Step}}, [](int, const json &) {});
    Host.after(BigJobAt, [this] {
      std::string Spec = workSpec(500) + ' ';
      Spec.resize(Trouble ? SpecBytes : 400, 'x');
      Subject.submit(1, {jobId(2), Spec, {step(Tasks, 10, 500)}},
                     [](int, const json &) {});
    });
    Host.after(BigJobAt + FinishTime, [this] { judge(); });
    finishAfter(PlayTime);
  }

  /// After the time that jobs have to finish, the workers have room for the job
  /// more than twice over, and most of them is not in use.
  void judge() {
    std::size_t Done = Subject.Rules.doneCount(jobId(2));
    Host.record("case", std::to_string(Done) + " tasks of the job are done, " +
                            std::to_string(Subject.Rules.Lapses) +
                            " runs have lapsed");
    if (Done < Tasks && Subject.Rules.isIdleFor(jobId(2), IdleTime)) {
      Host.broken("LOST", "the job has had nothing running for 3 s");
      return;
    }
    if (Done < Tasks)
      Host.after(Millis(500), [this] { judge(); });
  }

  bool Trouble;
};

/// A job with many repetitions that are all due at once.
class ManyRepetitions final : public Case {
public:
  ManyRepetitions(Harness &Host, bool Trouble)
      : Case(Host, {3, 3, 16000}), Trouble(Trouble) {}

private:
  static constexpr int ManyTimes = 20000;
  static constexpr int FewTimes = 20;
  static constexpr int SmallJobs = 40;
  static constexpr std::size_t TasksPerJob = 4;
  static constexpr Millis IdleTime{3000};
  static constexpr Millis JobInterval{500};
  static constexpr Millis RepeatedJobAt{5000};
  static constexpr Millis FinishTime{14000};
  static constexpr Millis PlayTime{46000};

  void begin() override {
    submitNext(1);
    Host.after(RepeatedJobAt, [this] {
      Subject.submit(
          0, {jobId(1000), workSpec(100), {step(1, 1000, 100)}, repetitions()},
          [](int, const json &) {});
    });
    finishAfter(PlayTime);
  }

  json repetitions() const {
    return {{"repetitions", Trouble ? ManyTimes : FewTimes},
            {"first_run_ms",
             std::chrono::duration_cast<Millis>(
                 std::chrono::system_clock::now().time_since_epoch())
                 .count()}};
  }

  void submitNext(int Number) {
    if (Number > SmallJobs) {
      Host.after(FinishTime, [this] { judge(); });
      return;
    }
    Subject.submit(
        static_cast<std::size_t>(Number) % 3,
        {jobId(Number), workSpec(300), {step(TasksPerJob, 500, 300)}},
        [this, Number](int Status, const json &) {
          if (Status == 200)
            Accepted.push_back(jobId(Number));
        });
    Host.after(JobInterval, [this, Number] { submitNext(Number + 1); });
  }

  /// All workers have room: nothing else is at work.
  void judge() {
    Host.record("case", std::to_string(Accepted.size()) +
                            " small jobs accepted, " +
                            std::to_string(Subject.Rules.runningCount()) +
                            " tasks at work");
    for (const std::string &Id : Accepted) {
      std::size_t Done = Subject.Rules.doneCount(Id);
      if (Done < TasksPerJob && Subject.Rules.isIdleFor(Id, IdleTime))
        Host.broken("LOST", "accepted job " + Id + " has " +
                                std::to_string(Done) +
                                " tasks done and had nothing running for 3 s");
      Subject.query(0, Id, [](int, const json &) {});
    }
  }

  bool Trouble;
  std::vector<std::string> Accepted;
};

/// The leader is killed after some hundred jobs, and the links of the entries'
/// machines are narrow.
class NarrowLinks final : public Case {
public:
  NarrowLinks(Harness &Host, bool Trouble)
      : Case(Host, {3, 3, 16000, LinkMbps}), Trouble(Trouble) {}

private:
  static constexpr double LinkMbps = 10;
  static constexpr int Jobs = 960;
  static constexpr Millis JobInterval{66};
  static constexpr std::size_t TasksPerJob = 4;
  static constexpr std::size_t SpecBytes = 2400;
  static constexpr Millis KillAt{60000};
  static constexpr Millis RestartAfter{500};
  static constexpr Millis FinishTime{14000};
  static constexpr Millis IdleTime{3000};
  static constexpr Millis JudgeTime{16000};

  void begin() override {
    submitNext(1);
    if (Trouble)
      Host.after(KillAt, [this] { killLeader(); });
  }

  void killLeader() {
    std::size_t Leader = Subject.leader();
    if (Leader >= Subject.Entries.size())
      return fail("no entry leads");
    Subject.Entries[Leader]->kill();
    Host.after(RestartAfter,
               [this, Leader] { Subject.Entries[Leader]->start(); });
  }

  void submitNext(int Number) {
    if (Number > Jobs) {
      Host.after(FinishTime, [this] { judge(); });
      return finishAfter(JudgeTime);
    }
    std::string Spec = workSpec(300) + ' ';
    Spec.resize(SpecBytes, 'x');
    std::string Id = mixedJobId(Number);
    Subject.submit(static_cast<std::size_t>(Number) % 3,
                   {Id, Spec, {step(TasksPerJob, 500, 300)}},
                   [this, Id](int Status, const json &) {
                     if (Status == 200)
                       Accepted.push_back(Id);
                   });
    Host.after(JobInterval, [this, Number] { submitNext(Number + 1); });
  }

  /// Ends in each hexadecimal digit equally often.
  static std::string mixedJobId(int Number) {
    std::ostringstream Text;
    Text << std::hex << std::setw(16) << std::setfill('0') << Number;
    return Text.str();
  }

  /// All workers have room: nothing else is at work.
  void judge() {
    Host.record("case", std::to_string(Accepted.size()) + " jobs accepted, " +
                            std::to_string(Subject.Rules.runningCount()) +
                            " tasks at work");
    for (const std::string &Id : Accepted) {
      std::size_t Done = Subject.Rules.doneCount(Id);
      if (Done < TasksPerJob && Subject.Rules.isIdleFor(Id, IdleTime))
        Host.broken("LOST", "accepted job " + Id + " has " +
                                std::to_string(Done) +
                                " tasks done and had nothing running for 3 s");
    }
  }

  bool Trouble;
  std::vector<std::string> Accepted;
};

/// Plays the case \p Name. Throws NotRun.
inline int playCase(Harness &Host, const std::string &Name, bool Trouble) {
  if (Name == "many-ends")
    return ManyEnds(Host, Trouble).play();
  if (Name == "long-texts")
    return LongTexts(Host, Trouble).play();
  if (Name == "many-repetitions")
    return ManyRepetitions(Host, Trouble).play();
  if (Name == "narrow-links")
    return NarrowLinks(Host, Trouble).play();
  throw NotRun("no case " + Name);
}

} // namespace daisyspool::review

#endif // DAISYSPOOL_REVIEW_CASES_H
