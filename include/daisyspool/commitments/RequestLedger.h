#ifndef DAISYSPOOL_COMMITMENTS_REQUESTLEDGER_H
#define DAISYSPOOL_COMMITMENTS_REQUESTLEDGER_H

#include "daisyspool/commitments/Orders.h"

#include <cstddef>
#include <map>
#include <optional>

namespace daisyspool {

struct RequestLedgerSettings {
  std::size_t Slots = 8;
  std::size_t Capacity = 20'000;
  Duration TaskLease = Millis(10'000);
  /// How long an outcome is kept for queries of the owner. Precondition: at
  /// least TaskLease, so that a grant expires before its request is forgotten.
  Duration Retention = Millis(120'000);
};

/// Records which non-idempotent requests this agent process has run.
///
/// Use it between the link and the target: pass a request to the target only if
/// admit() returns nothing, which happens at most once for each id. Later
/// copies and queries get the stored report. A new agent process starts with an
/// empty ledger and reports Unknown for grants of its predecessor.
///
/// Thread safety: one thread. Times are on the agent's clock.
class RequestLedger {
public:
  RequestLedger(VmId Vm, Incarnation Self, RequestLedgerSettings Settings = {});

  /// Returns nothing if the request is to run now, and otherwise the report
  /// for the owner.
  std::optional<RequestReport> admit(const RunOrder &Order, TimePoint Now);

  /// Stores the target's answer and returns the report for the owner. \p State
  /// is Unknown if the target failed while it ran the request.
  RequestReport finish(const RequestId &Request, RunState State, int Status,
                       std::string Body, TimePoint Now);

  /// Reports on a request. A request that has not been started by now never
  /// will be.
  RequestReport query(const QueryOrder &Order, TimePoint Now);

  /// Forgets outcomes older than the retention time.
  void expire(TimePoint Now);

  std::size_t running() const { return Running; }

private:
  struct Entry {
    RequestReport Report;
    TimePoint ForgetAt;
  };

  RequestReport makeReport(ShardId Shard, const RequestId &Request,
                           RunState State) const;
  RequestReport refuse(ShardId Shard, const RequestId &Request,
                       const AgentGrant &Grant, TimePoint Now);

  VmId Vm;
  Incarnation Self;
  RequestLedgerSettings Settings;
  std::size_t Running = 0;
  std::map<RequestId, Entry> Requests;
};

} // namespace daisyspool

#endif // DAISYSPOOL_COMMITMENTS_REQUESTLEDGER_H
