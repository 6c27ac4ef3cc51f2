// Callers that give up and cancel their job at another entry, and the check of
// what the answers to them promise.
#ifndef DAISYSPOOL_SOAK_SOAKCANCELLATIONS_H
#define DAISYSPOOL_SOAK_SOAKCANCELLATIONS_H

#include "SoakWorker.h"

namespace daisyspool::soak {

/// Thread safety: the I/O thread only.
class SoakCancellations {
public:
  /// How long after an answered cancellation tasks may still be started.
  static constexpr Millis Bound{3000};

  /// Draws from a sequence of its own, so that the faults of a seed stay.
  SoakCancellations(VirtualLoop &Loop,
                    const std::vector<std::unique_ptr<http::Client>> &Entries,
                    const std::vector<std::unique_ptr<SoakWorker>> &Workers,
                    std::uint64_t Seed)
      : Loop(Loop), Entries(Entries), Workers(Workers), Random(Seed + 2) {}

  /// Whether the next caller does what one in \p Count of them do.
  bool isOneIn(std::uint64_t Count) { return draw(Count) == 0; }

  /// A time after which a caller gives up on a submission.
  Millis impatience() { return Millis(100 + draw(1500)); }

  /// When lost writes of the next fault are applied.
  Millis lateWriteDelay() { return Millis(1000 + draw(5000)); }

  /// Cancels \p Job at any entry other than \p NotAt until that is answered.
  void cancel(const JobId &Job, std::size_t NotAt, int Attempts = MaxAttempts) {
    std::size_t At =
        (NotAt + 1 + draw(std::max<std::size_t>(1, Entries.size() - 1))) %
        Entries.size();
    http::Request Cancel{
        "DELETE", "/queue/" + Job.str(), {{"X-Deadline-Ms", "3000"}}, {}};
    Entries[At]->send(Cancel, Millis(3000),
                      [this, Job, At, Attempts](const http::Response &Answer,
                                                const std::exception_ptr &F) {
                        if (!F &&
                            (Answer.Status == 200 || Answer.Status == 410)) {
                          Answers.push_back({Job, Answer.Status, Loop.now()});
                        } else if (Attempts > 1) {
                          Loop.after(Millis(200), [this, Job, At, Attempts] {
                            cancel(Job, At, Attempts - 1);
                          });
                        }
                      });
  }

  std::size_t answered() const { return Answers.size(); }

  /// What broke the promise of an answer. An order may have waited in a
  /// connection that was cut for \p LongestCut.
  std::vector<std::string> failures(const Oracle &Checks,
                                    Millis LongestCut) const {
    std::vector<std::string> Result;
    for (const Answer &Each : Answers) {
      std::string Name = "job " + Each.Job.str();
      if (Each.Status == 410 && Checks.StartedJobs.count(Each.Job) != 0)
        Result.push_back(Name +
                         " has run, but its cancellation was answered 410");
      if (hasStartedAfter(Each.Job, Each.At + Bound + LongestCut))
        Result.push_back(Name + " started late after the answer " +
                         std::to_string(Each.Status));
    }
    return Result;
  }

private:
  static constexpr int MaxAttempts = 6;

  struct Answer {
    JobId Job;
    int Status = 0;
    TimePoint At{};
  };

  /// Leaves out orders that a worker carried out late.
  bool hasStartedAfter(const JobId &Job, TimePoint Time) const {
    for (const auto &Worker : Workers)
      for (const SoakWorker::PromptStart &Start : Worker->PromptStarts)
        if (Start.Job == Job && Start.At > Time)
          return true;
    return false;
  }

  std::uint64_t draw(std::uint64_t Limit) {
    return std::uniform_int_distribution<std::uint64_t>(0, Limit - 1)(Random);
  }

  VirtualLoop &Loop;
  const std::vector<std::unique_ptr<http::Client>> &Entries;
  const std::vector<std::unique_ptr<SoakWorker>> &Workers;
  std::mt19937_64 Random;
  std::vector<Answer> Answers;
};

} // namespace daisyspool::soak

#endif // DAISYSPOOL_SOAK_SOAKCANCELLATIONS_H
