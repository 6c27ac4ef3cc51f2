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

/// What filling tasks do to the tail latency of the serving tasks beside them,
/// learned by pairs of images from the agents' reports.
///
/// Load pattern: a fleet reserved by serving tasks whose processors are half
/// idle, and batch that fills them. Few pairs of images disturb each other, so
/// the room for batch is found by placing it beside services that it leaves
/// alone.
///
/// A service's own load moves its tail by several times within seconds, on all
/// of its VMs alike. A tail is therefore compared with the lowest that tasks
/// of the same job show elsewhere at the time. The logarithm of the quotient is
/// taken as the sum of what the filling images present add, each by its
/// presence, and a Kalman filter with independent variances gives the blame to
/// the pairs that are known least.
///
/// Thread safety: one thread at a time.
class TailModel {
public:
  /// Learns from one report: the runs of \p Vm with their present figures.
  void observe(const VmState &Vm, TimePoint Now);

  /// What to expect on \p Vm with its present runs, once tasks that have just
  /// begun show in the figures; an entry for each serving image there.
  std::vector<ServiceTail> presentTails(const VmState &Vm, TimePoint Now) const;

  /// The largest quotient of tail and target expected if a filling task of \p
  /// Image joins services with tails \p Present; 0 if nothing serves there.
  double predict(const std::vector<ServiceTail> &Present,
                 const workload::ImageId &Image, TimePoint Now) const;

  /// Serving images that \p Image is known to leave alone.
  std::vector<workload::ImageId> harmlessTo(const workload::ImageId &Image,
                                            TimePoint Now) const;

  /// Serializes what was learned, for the next leader.
  std::string encode(TimePoint Now) const;

  /// Applies what encode() wrote. Errors: throws ProtocolError.
  void decode(std::string_view Bytes, TimePoint Now);

private:
  using ImageId = workload::ImageId;

  /// What one filling image at full speed adds to the logarithm of a serving
  /// image's tail.
  struct Effect {
    double Mean = 0;
    double Variance = 0;
    TimePoint At{};
  };
  struct ServingImage {
    /// The usual quotient of tail and target with nothing that fills beside.
    double Usual = 0;
    /// What the tails of a job's tasks exceed its lowest ones by in any case.
    Effect Offset;
    std::map<ImageId, Effect> Effects;
  };
  struct Report {
    TimePoint At{};
    double Quotient = 0;
  };
  /// The figures of one job's tasks on one VM, in one report.
  struct JobFigures {
    ImageId Image;
    double Lowest = 0;
    double Sum = 0;
    int Count = 0;
  };

  std::map<ImageId, double> presence(const VmState &Vm) const;
  std::map<JobId, JobFigures> figures(const VmState &Vm) const;
  bool isRepeated(const VmState &Vm);
  void learn(ServingImage &Service, const std::map<ImageId, double> &Filling,
             double LogExcess, TimePoint Now);
  double expectedQuotient(const VmState &Vm, const TaskName &Task,
                          const Assignment &Run,
                          const std::map<ImageId, double> &Filling,
                          TimePoint Now) const;
  const ServingImage *serving(const ImageId &Image) const;
  Effect effect(const ServingImage *Service, const ImageId &Filling,
                TimePoint Now) const;
  std::optional<double> baseline(const JobId &Job, TimePoint Now) const;
  void forgetOldReports(TimePoint Now);

  std::map<ImageId, ServingImage> Services;
  /// All that stand in the Effects of a service.
  std::set<ImageId> FillingImages;
  std::map<JobId, std::map<VmId, Report>> Reports;
  /// A digest of each VM's newest figures, and when tasks last filled there.
  std::map<VmId, std::size_t> Digests;
  std::map<VmId, TimePoint> LastFilled;
  TimePoint LastCleanup{};
};

} // namespace daisyspool::scheduling

#endif // DAISYSPOOL_SCHEDULING_TAILMODEL_H
