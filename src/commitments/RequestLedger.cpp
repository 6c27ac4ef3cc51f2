#include "daisyspool/commitments/RequestLedger.h"

#include "daisyspool/journal/Lease.h"

#include <cassert>

namespace daisyspool {

RequestLedger::RequestLedger(VmId Vm, Incarnation Self,
                             RequestLedgerSettings Settings)
    : Vm(std::move(Vm)), Self(Self), Settings(Settings) {
  assert(Settings.Retention >= Settings.TaskLease);
}

RequestReport RequestLedger::makeReport(ShardId Shard, const RequestId &Request,
                                        RunState State) const {
  return {Shard, Request, Self, State, 0, {}};
}

std::optional<RequestReport> RequestLedger::admit(const RunOrder &Order,
                                                  TimePoint Now) {
  auto Known = Requests.find(Order.Request);
  if (Known != Requests.end())
    return Known->second.Report;

  const TimePoint Stamp(Order.Grant.Stamp);
  const bool Valid = Order.Grant.Vm == Vm && Order.Grant.Agent == Self &&
                     Stamp <= Now &&
                     Now < Stamp + holderTime(Settings.TaskLease);
  if (!Valid || Running >= Settings.Slots ||
      Requests.size() >= Settings.Capacity)
    return refuse(Order.Shard, Order.Request, Order.Grant, Now);

  Requests[Order.Request] = {
      makeReport(Order.Shard, Order.Request, RunState::Running),
      TimePoint::max()};
  ++Running;
  return std::nullopt;
}

RequestReport RequestLedger::refuse(ShardId Shard, const RequestId &Request,
                                    const AgentGrant &Grant, TimePoint Now) {
  // Another incarnation may have run the request. So may this one, if it may
  // already have dropped the outcome.
  const TimePoint Stamp(Grant.Stamp);
  if (Grant.Agent != Self || Grant.Vm != Vm ||
      Now >= Stamp + Settings.Retention ||
      Requests.size() >= 2 * Settings.Capacity)
    return makeReport(Shard, Request, RunState::Unknown);

  RequestReport Result = makeReport(Shard, Request, RunState::NotRun);
  Requests[Request] = {Result, Now + Settings.Retention};
  return Result;
}

RequestReport RequestLedger::finish(const RequestId &Request, RunState State,
                                    int Status, std::string Body,
                                    TimePoint Now) {
  auto Found = Requests.find(Request);
  assert(Found != Requests.end() &&
         Found->second.Report.State == RunState::Running);
  --Running;
  Found->second.Report.State = State;
  Found->second.Report.Status = Status;
  Found->second.Report.Body = std::move(Body);
  Found->second.ForgetAt = Now + Settings.Retention;
  return Found->second.Report;
}

RequestReport RequestLedger::query(const QueryOrder &Order, TimePoint Now) {
  auto Known = Requests.find(Order.Request);
  if (Known != Requests.end())
    return Known->second.Report;

  return refuse(Order.Shard, Order.Request, Order.Grant, Now);
}

void RequestLedger::expire(TimePoint Now) {
  std::erase_if(Requests, [Now](const auto &Each) {
    return Now >= Each.second.ForgetAt;
  });
}

} // namespace daisyspool
