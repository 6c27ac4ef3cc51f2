#ifndef DAISYSPOOL_SCHEDULING_TAILMODEL_H
#define DAISYSPOOL_SCHEDULING_TAILMODEL_H

#include "daisyspool/interference/InterferenceModel.h"
#include "daisyspool/scheduling/VmState.h"

#include <map>
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
/// alone. Amounts are quotients of tail latency and target.
///
/// Thread safety: one thread at a time.
class TailModel {
public:
  TailModel();

  /// Learns from one report: the runs of \p Vm with their present figures.
  void observe(const VmState &Vm, TimePoint Now);

  /// The largest quotient expected on \p Vm if a filling task of \p Image is
  /// added; 0 if nothing serves there.
  double predict(const VmState &Vm, const workload::ImageId &Image,
                 TimePoint Now) const;

  /// Serving images that \p Image is known to leave alone.
  std::vector<workload::ImageId> harmlessTo(const workload::ImageId &Image,
                                            TimePoint Now) const;

  /// Serializes what was learned, for the next leader.
  std::string encode(TimePoint Now) const;

  /// Applies what encode() wrote. Errors: throws ProtocolError.
  void decode(std::string_view Bytes, TimePoint Now);

private:
  using Kind = interference::KindIndex;

  Kind kindOf(const workload::ImageId &Image);
  double excess(const workload::ImageId &Serving,
                const workload::ImageId &Filling, TimePoint Now) const;

  std::map<workload::ImageId, Kind> Kinds;
  /// The usual quotient of a serving image with nothing that fills beside it.
  std::map<workload::ImageId, double> Alone;
  interference::InterferenceModel Pairs;
};

} // namespace daisyspool::scheduling

#endif // DAISYSPOOL_SCHEDULING_TAILMODEL_H
