#include "daisyspool/overload/JobDemand.h"

namespace daisyspool::overload {

namespace {

/// How much longer the job can wait and still be in time.
Duration slackOf(const JobDemand &Job, TimePoint Now) {
  return Job.TargetCompletion - Now - Job.RemainingPath;
}

} // namespace

Millis objectiveOf(const JobDemand &Job) {
  return std::chrono::duration_cast<Millis>(Job.TargetCompletion - Job.Arrival);
}

Lateness latenessOf(const JobDemand &Job, TimePoint Now) {
  if (slackOf(Job, Now) >= Duration::zero())
    return Lateness::InTime;

  TimePoint Finish = Now + Job.RemainingPath;
  return Finish <= Job.Arrival + UsefulFactor * objectiveOf(Job)
             ? Lateness::Late
             : Lateness::Useless;
}

Lateness worthOf(const JobDemand &Job, TimePoint Now) {
  return Job.LongRunning || Job.Repeats ? Lateness::InTime
                                        : latenessOf(Job, Now);
}

bool isAtRisk(const JobDemand &Job, TimePoint Now) {
  if (Job.LongRunning && Job.Begun)
    return true;
  // What the job has spent so far on waiting or on steps that took longer than
  // estimated, and what it has left for both.
  Duration Left = slackOf(Job, Now);
  return !Job.Repeats && worthOf(Job, Now) == Lateness::InTime &&
         2 * Left < Job.InitialSlack;
}

} // namespace daisyspool::overload
