// The part of LeaderDuty that applies the operator's evacuations.
#include "leadership/LeaderState.h"

#include "daisyspool/telemetry/Log.h"

namespace daisyspool::leadership {

void LeaderDuty::evacuate(const scheduling::EvacuatedDomains &Domains) {
  auto Changes = Evacuations.replace(Domains, Time.now());
  if (Changes.empty())
    return;
  std::size_t VmsBefore = evacuationStatus().Vms;
  std::size_t Withdrawn = 0;
  if (Leadership) {
    Leadership->JobScheduler.evacuate(Domains);
    Withdrawn = countWithdrawnStarts();
    scheduleWork();
  }
  for (const scheduling::Evacuation::Change &Each : Changes) {
    LogEvent Line(LogLevel::Warning,
                  Each.EndedAfter ? "evacuation_ended" : "evacuation_began");
    Line.with("domain", Each.Domain)
        .with("leading", isLeading() ? "yes" : "no")
        .with("view_age_ms", evacuationsAge().count())
        .with("vms_before", static_cast<std::int64_t>(VmsBefore))
        .with("vms", static_cast<std::int64_t>(evacuationStatus().Vms))
        .with("withdrawn", static_cast<std::int64_t>(Withdrawn));
    if (Each.EndedAfter)
      Line.with("lasted_ms", Each.EndedAfter->count());
  }
}

Millis LeaderDuty::evacuationsAge() const {
  if (!Evacuations.maxAge())
    return Millis(0);
  return std::chrono::duration_cast<Millis>(Time.now() -
                                            Config.EvacuationsAsOf());
}

std::size_t LeaderDuty::countWithdrawnStarts() {
  std::size_t Count = Leadership->JobScheduler.takeWithdrawnStarts();
  StartsWithdrawn += Count;
  return Count;
}

LeaderDuty::EvacuationStatus LeaderDuty::evacuationStatus() const {
  return {Evacuations.domains().size(),
          Leadership ? Leadership->JobScheduler.evacuatedVmCount() : 0,
          StartsWithdrawn};
}

} // namespace daisyspool::leadership
