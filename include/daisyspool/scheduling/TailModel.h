#ifndef DAISYSPOOL_SCHEDULING_TAILMODEL_H
#define DAISYSPOOL_SCHEDULING_TAILMODEL_H

#include "daisyspool/scheduling/VmState.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace daisyspool::scheduling {

/// Estimates how best-effort tasks (StepDefinition::FillsIdleCpu) raise the
/// tail latency of serving tasks on the same VM, for each pair of images, from
/// the agents' reports.
///
/// Load pattern: serving tasks reserve the fleet but leave half of their
/// processors idle, and best-effort batch uses them. Few pairs of images
/// interfere, so batch is placed beside services that it does not slow down.
///
/// A service's own load changes its tail several-fold within seconds, on all of
/// its VMs alike. A tail is therefore compared with the lowest tails of the
/// same job on other VMs at the time. The logarithm of the ratio is modelled as
/// the sum of the effects of the active best-effort images, each weighted by
/// its activity. A Kalman filter with independent variances attributes the
/// error mainly to the pairs with the highest uncertainty.
///
/// Thread safety: one thread at a time.
class TailModel {
public:
  /// Updates the model from one report: the runs of \p Vm with their loads.
  void observe(const VmState &Vm, TimePoint Now);

  /// The expected tail of each serving image on \p Vm with its current runs,
  /// including the effect of tasks that are too new to show in the reports.
  std::vector<ServiceTail> currentTails(const VmState &Vm, TimePoint Now) const;

  /// The largest expected ratio of tail to target if a best-effort task of \p
  /// Image joins services with tails \p Current; 0 if there are no services.
  double predict(const std::vector<ServiceTail> &Current,
                 const workload::ImageId &Image, TimePoint Now) const;

  /// Serving images whose tails \p Image is known not to raise.
  std::vector<workload::ImageId>
  unaffectedImages(const workload::ImageId &Image, TimePoint Now) const;

  /// Serializes the learned effects for the next leader.
  std::string encode(TimePoint Now) const;

  /// Restores what encode() wrote. Errors: throws ProtocolError.
  void decode(std::string_view Bytes, TimePoint Now);

private:
  using ImageId = workload::ImageId;

  /// What a best-effort image at full speed adds to the logarithm of a serving
  /// image's tail.
  struct Effect {
    double Mean = 0;
    double Variance = 0;
    TimePoint UpdatedAt{};
  };
  struct ServingImage {
    /// The typical ratio of tail to target without best-effort tasks.
    double TypicalRatio = 0;
    /// The logarithm of the ratio of a job's mean tail to its lowest tails,
    /// without interference.
    Effect Offset;
    std::map<ImageId, Effect> Effects;
  };
  struct Report {
    TimePoint ReceivedAt{};
    double Ratio = 0;
  };
  /// Tail ratios of one job's tasks on one VM, in one report.
  struct JobTails {
    ImageId Image;
    double LowestRatio = 0;
    double RatioSum = 0;
    int Count = 0;
  };

  std::map<ImageId, double> bestEffortActivity(const VmState &Vm) const;
  std::map<JobId, JobTails> jobTails(const VmState &Vm) const;
  bool isDuplicateReport(const VmState &Vm);
  void updateEffects(ServingImage &Service,
                     const std::map<ImageId, double> &ActivityByImage,
                     double LogExcess, TimePoint Now);
  double expectedRatio(const VmState &Vm, const TaskName &Task,
                       const Assignment &Run,
                       const std::map<ImageId, double> &ActivityByImage,
                       TimePoint Now) const;
  const ServingImage *findService(const ImageId &Image) const;
  /// The effect with its variance as of \p Now; the prior for an unknown pair.
  Effect currentEffect(const ServingImage *Service,
                       const ImageId &BestEffortImage, TimePoint Now) const;
  /// The mean of the job's lowest recent tails, or nothing if too few VMs have
  /// reported.
  std::optional<double> baseline(const JobId &Job, TimePoint Now) const;
  void removeOldReports(TimePoint Now);

  std::map<ImageId, ServingImage> Services;
  /// All best-effort images in the Effects of the services.
  std::set<ImageId> BestEffortImages;
  std::map<JobId, std::map<VmId, Report>> Reports;
  /// A digest of each VM's newest loads, to detect repeated reports.
  std::map<VmId, std::size_t> LoadDigests;
  /// When best-effort tasks were last active on each VM.
  std::map<VmId, TimePoint> LastBestEffortAt;
  TimePoint LastCleanup{};
};

} // namespace daisyspool::scheduling

#endif // DAISYSPOOL_SCHEDULING_TAILMODEL_H
