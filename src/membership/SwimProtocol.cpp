#include "daisyspool/membership/SwimProtocol.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <map>

namespace daisyspool {

namespace {

/// Burst limit of membership messages, in seconds of the rate limit.
constexpr double BurstSeconds = 1.0;
/// Burst limit of payloads, in seconds of the rate limit; an ordinary minute
/// leaves that much unused. A configuration change must be sent to 4 members at
/// once, or it spreads too late.
constexpr double PayloadBurstSeconds = 16.0;
/// Bytes of the limit that payloads leave to membership messages.
constexpr double PayloadReserveBytes = 8192;
/// Bytes of the limit that attached updates and table comparisons leave to
/// probes and their answers.
constexpr double UpdateReserveBytes = 400;
constexpr double SyncReserveBytes = 1600;
/// Space kept free in a datagram when updates are attached.
constexpr std::size_t SizeMarginBytes = 24;
/// A gap between ticks that exceeds the probe period by this means that the
/// process was paused.
constexpr Millis PauseThreshold{2000};
constexpr Millis NoticeInterval{500};
/// Maximum number of relays, and of received payloads and stamps not yet taken.
constexpr std::size_t MaxBuffered = 4096;
constexpr std::size_t MaxSummariesPerDatagram = 120;
constexpr std::size_t MaxWantedPerDatagram = 64;
/// Members reported dead that are probed after one received datagram.
constexpr std::size_t MaxReportedDeadProbes = 8;

bool isDue(TimePoint Now, TimePoint When) { return Now >= When; }

std::uint32_t ageInMillis(TimePoint Now, TimePoint Since) {
  const auto Age = std::chrono::duration_cast<Millis>(Now - Since).count();
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(Age, 0, 3600000));
}

} // namespace

SwimProtocol::SwimProtocol(Options Config, ProcessId Id, Incarnation First,
                           MemberInfo Info, std::uint64_t Seed, TimePoint Now)
    : Config(Config), Self(std::move(Id)), Number(First), Info(std::move(Info)),
      Rng(Seed), MembershipTokens(static_cast<double>(Config.BytesPerSecond)),
      TotalTokens(MembershipTokens * PayloadBurstSeconds), LastRefill(Now),
      LastTick(Now) {
  assert(!Self.empty() && !this->Info.Address.Host.empty());
  Table.apply({Self, MemberState::Alive, Number, Number, this->Info}, Now);
  enqueue(Self, true);

  const auto Within = [this](Millis Period) {
    return Duration(Rng.below(Duration(Period).count()));
  };
  NextProbe = Now + Within(Config.ProbePeriod);
  NextSync = Now + Within(Config.SyncPeriod);
  NextDeadProbe = Now + Within(Config.DeadProbePeriod);
  NextForget = Now + Config.ForgetAfter;
}

double SwimProtocol::logMemberCount() const {
  return std::max(1.0, std::log10(double(Table.reachableCount()) + 1));
}

Duration SwimProtocol::jittered(Millis Period) {
  const auto Base = static_cast<double>(Duration(Period).count());
  return Duration(static_cast<std::int64_t>(Base * (0.8 + 0.4 * Rng.unit())));
}

void SwimProtocol::setConfigStamp(ConfigVersion NewVersion,
                                  std::optional<TimePoint> NewConfirmedAt) {
  ConfigInForce = NewVersion;
  ConfigConfirmedAt = NewConfirmedAt;
}

std::vector<PeerPayload> SwimProtocol::takePayloads() {
  return std::exchange(Payloads, {});
}

std::vector<PeerStamp> SwimProtocol::takeStamps() {
  return std::exchange(Stamps, {});
}

// ---- updates ----

void SwimProtocol::enqueue(const ProcessId &Id, bool WithInfo) {
  const std::uint64_t Generation = NextGeneration++;
  Generations[Id] = Generation;
  if (UpdateQueues.empty())
    UpdateQueues.emplace_back();
  // A refutation goes ahead of the suspicions that it ends.
  const Member *Known = Table.find(Id);
  if (Known && Known->State == MemberState::Alive)
    UpdateQueues.front().push_front({Id, Generation, WithInfo});
  else
    UpdateQueues.front().push_back({Id, Generation, WithInfo});
}

void SwimProtocol::refute(const MemberUpdate &Update) {
  const bool IsOlder = Update.Number < Number;
  const bool IsCurrent = Update.Number == Number &&
                         Update.State == MemberState::Alive &&
                         (!Update.Info || *Update.Info == Info);
  if (IsOlder || IsCurrent || Leaving)
    return;

  // The update comes from another process that used this id, or from a peer
  // that suspects this one.
  ++Counts.Refuted;
  const bool OtherInfo = Update.InfoNumber > Table.find(Self)->InfoNumber ||
                         (Update.Info && *Update.Info != Info);
  Number = Update.Number.next();
  MemberUpdate Mine{Self, MemberState::Alive, Number,
                    OtherInfo ? Number : Table.find(Self)->InfoNumber, Info};
  Table.apply(Mine, LastTick);
  enqueue(Self, OtherInfo);
}

void SwimProtocol::merge(MemberUpdate Update, TimePoint Now, Source From) {
  if (Update.Id == Self)
    return refute(Update);

  const Member *Known = Table.find(Update.Id);
  // A member that others report dead is only suspected here. Otherwise, when a
  // network partition heals, members that the other side could not reach would
  // be declared dead.
  bool IsReportedDead = false;
  if (Update.State == MemberState::Dead && From != Source::Local && Known &&
      Known->reachable()) {
    Update.State = MemberState::Suspect;
    IsReportedDead = Known->State == MemberState::Alive;
  }
  std::optional<MemberState> Before;
  Incarnation InfoBefore;
  if (Known) {
    Before = Known->State;
    InfoBefore = Known->InfoNumber;
  }

  const auto Outcome = Table.apply(Update, Now);
  if (Outcome == MembershipTable::Outcome::NeedsInfo)
    MissingInfo.push_back(Update.Id);
  Known = Table.find(Update.Id);
  if (Outcome == MembershipTable::Outcome::Stale || !Known)
    return;

  // A record that was only missing in this table is not disseminated. A member
  // reported dead is probed directly, which costs less than disseminating the
  // suspicion.
  if (IsReportedDead)
    ReportedDead.push_back(Update.Id);
  else if (Before || From == Source::Gossip)
    enqueue(Update.Id, !Before || Known->InfoNumber > InfoBefore);
  if (Known->State == MemberState::Suspect) {
    const auto Wait = Duration(static_cast<std::int64_t>(
        Config.SuspicionFactor * logMemberCount() *
        static_cast<double>(Duration(Config.ProbePeriod).count())));
    Suspicions.push_back({Update.Id, Known->Number, Now + Wait});
  }
  if (OnChanged && (Before != Known->State || Known->InfoNumber > InfoBefore))
    OnChanged(*Known, Before);
}

void SwimProtocol::learn(const std::vector<MemberUpdate> &Sample,
                         TimePoint Now) {
  for (const MemberUpdate &Update : Sample)
    merge(Update, Now, Source::Table);
  MissingInfo.clear();
  NextSync = std::min(NextSync, Now);
}

std::vector<MemberUpdate> SwimProtocol::sampleForNewcomer(std::size_t Count) {
  std::vector<MemberUpdate> Sample{
      MembershipTable::updateOf(*Table.find(Self), true)};
  for (const Slot Position : Table.sample(
           Rng, Count, [this](const Member &Other) { return isPeer(Other); }))
    Sample.push_back(MembershipTable::updateOf(*Table.at(Position), true));
  return Sample;
}

std::vector<ProcessId> SwimProtocol::randomPeers(std::size_t Count) {
  std::vector<ProcessId> Peers;
  for (const Slot Position : Table.sample(
           Rng, Count, [this](const Member &Other) { return isPeer(Other); }))
    Peers.push_back(Table.at(Position)->Id);
  return Peers;
}

void SwimProtocol::observeSender(const Datagram &Message, TimePoint Now) {
  const Member *Sender = Table.find(Message.Sender);
  if (!Sender) {
    MissingInfo.push_back(Message.Sender);
  } else if (Message.Number > Sender->Number) {
    merge({Message.Sender, MemberState::Alive, Message.Number,
           Sender->InfoNumber, std::nullopt},
          Now);
  }
  Table.setConfigVersion(Message.Sender, Message.Config.Version);
  if (Stamps.size() < MaxBuffered)
    Stamps.push_back({Message.Sender, Message.Config});
}

// ---- sending ----

Datagram SwimProtocol::envelope(DatagramBody Body, TimePoint Now) const {
  Datagram Message{
      Self, Number, {ConfigInForce, std::nullopt}, std::move(Body), {}};
  if (ConfigConfirmedAt)
    Message.Config.Age = Millis(ageInMillis(Now, *ConfigConfirmedAt));
  return Message;
}

void SwimProtocol::refill(TimePoint Now) {
  const double Rate = static_cast<double>(Config.BytesPerSecond);
  const double Elapsed =
      std::chrono::duration<double>(Now - LastRefill).count();
  MembershipTokens =
      std::min(Rate * BurstSeconds, MembershipTokens + Rate * Elapsed);
  TotalTokens =
      std::min(Rate * PayloadBurstSeconds, TotalTokens + Rate * Elapsed);
  LastRefill = std::max(LastRefill, Now);
}

void SwimProtocol::sendRateLimited(std::vector<Outgoing> &Out,
                                   const MemberAddress &To,
                                   const Datagram &Message) {
  std::string Bytes = encode(Message);
  assert(Bytes.size() <= MaxDatagramBytes);
  const auto Cost = static_cast<double>(Bytes.size());
  const bool IsPayload = std::holds_alternative<Payload>(Message.Body);
  if (IsPayload ? TotalTokens < Cost + PayloadReserveBytes
                : std::min(MembershipTokens, TotalTokens) < Cost) {
    ++Counts.Limited;
    return;
  }

  TotalTokens -= Cost;
  if (!IsPayload)
    MembershipTokens -= Cost;
  ++Counts.Sent;
  Counts.SentBytes += Bytes.size();
  Out.push_back({To, std::move(Bytes)});
}

void SwimProtocol::attachRecordOf(const Member &To, Datagram &Message) {
  // A suspected member must receive the suspicion in order to refute it.
  if (To.State != MemberState::Alive)
    Message.Updates.push_back(MembershipTable::updateOf(To, false));
}

void SwimProtocol::attachQueued(Datagram &Message, std::size_t Room) {
  const auto Limit = static_cast<std::size_t>(
      std::ceil(Config.RetransmitFactor * logMemberCount()));
  std::vector<std::pair<std::size_t, QueuedUpdate>> Requeued;

  // Updates with the fewest transmissions go first.
  for (std::size_t Level = 0;
       Level < UpdateQueues.size() && Room > SizeMarginBytes; ++Level) {
    while (!UpdateQueues[Level].empty()) {
      QueuedUpdate Next = UpdateQueues[Level].front();
      const Member *Known = Table.find(Next.Id);
      const auto Latest = Generations.find(Next.Id);
      if (!Known || Latest == Generations.end() ||
          Latest->second != Next.Generation) {
        UpdateQueues[Level].pop_front();
        continue;
      }

      MemberUpdate Update = MembershipTable::updateOf(*Known, Next.WithInfo);
      const std::size_t Size = encodedSize(Update);
      if (Size > Room) {
        Room = 0;
        break;
      }
      Room -= Size;
      Message.Updates.push_back(std::move(Update));
      UpdateQueues[Level].pop_front();
      Requeued.emplace_back(Level + 1, std::move(Next));
    }
  }

  for (auto &[Level, Sent] : Requeued) {
    if (Level >= Limit) {
      Generations.erase(Sent.Id);
      continue;
    }
    if (UpdateQueues.size() <= Level)
      UpdateQueues.resize(Level + 1);
    UpdateQueues[Level].push_back(std::move(Sent));
  }
}

void SwimProtocol::send(std::vector<Outgoing> &Out, const MemberAddress &To,
                        const Member *Peer, DatagramBody Body, TimePoint Now) {
  refill(Now);
  Datagram Message = envelope(std::move(Body), Now);
  if (Peer)
    attachRecordOf(*Peer, Message);

  const std::size_t BaseSize = encode(Message).size() + SizeMarginBytes;
  const double SpareTokens =
      MembershipTokens - UpdateReserveBytes - static_cast<double>(BaseSize);
  if (SpareTokens > 0 && BaseSize < MaxDatagramBytes)
    attachQueued(Message, std::min(MaxDatagramBytes - BaseSize,
                                   static_cast<std::size_t>(SpareTokens)));
  sendRateLimited(Out, To, Message);
}

void SwimProtocol::sendUpdates(std::vector<Outgoing> &Out,
                               const MemberAddress &To,
                               std::vector<MemberUpdate> Updates,
                               std::vector<std::uint32_t> Wanted,
                               TimePoint Now) {
  refill(Now);
  std::size_t Next = 0;
  while ((Next < Updates.size() || !Wanted.empty()) &&
         MembershipTokens > SyncReserveBytes) {
    SyncRecords Body;
    const std::size_t Requested = std::min(Wanted.size(), MaxWantedPerDatagram);
    Body.Wanted.assign(Wanted.end() - static_cast<std::ptrdiff_t>(Requested),
                       Wanted.end());
    Wanted.resize(Wanted.size() - Requested);

    Datagram Message = envelope(std::move(Body), Now);
    std::size_t Used = encode(Message).size() + SizeMarginBytes;
    while (Next < Updates.size()) {
      Used += encodedSize(Updates[Next]);
      if (Used > MaxDatagramBytes)
        break;
      Message.Updates.push_back(std::move(Updates[Next++]));
    }
    sendRateLimited(Out, To, Message);
  }
}

std::optional<Outgoing>
SwimProtocol::payload(const ProcessId &To, std::string Bytes, TimePoint Now) {
  const Member *Peer = Table.find(To);
  if (!Peer || To == Self)
    return std::nullopt;

  refill(Now);
  const Datagram Message = envelope(Payload{std::move(Bytes)}, Now);
  if (encode(Message).size() > MaxDatagramBytes)
    return std::nullopt;
  std::vector<Outgoing> Out;
  sendRateLimited(Out, Peer->Info.Address, Message);
  if (Out.empty())
    return std::nullopt;
  return std::move(Out.front());
}

// ---- time ----

TimePoint SwimProtocol::nextWake() const {
  TimePoint Wake = std::min({NextProbe, NextSync, NextDeadProbe, NextForget});
  if (Pending && !Pending->Indirect)
    Wake = std::min(Wake, Pending->DirectUntil);
  if (NoticesLeft != 0)
    Wake = std::min(Wake, NextNotice);
  return Wake;
}

void SwimProtocol::resumeAfterPause(TimePoint Now) {
  const Duration Gap = Now - LastTick;
  LastTick = Now;
  if (Gap < Config.ProbePeriod + PauseThreshold)
    return;

  // Answers and refutations that arrived during the pause have not been read
  // yet, so the pause must not count towards declaring a member dead.
  Pending.reset();
  for (Suspicion &Each : Suspicions)
    Each.Until += Gap;
}

std::vector<Outgoing> SwimProtocol::tick(TimePoint Now) {
  std::vector<Outgoing> Out;
  resumeAfterPause(Now);
  expireSuspicions(Now);
  if (NoticesLeft != 0 && isDue(Now, NextNotice))
    sendNotices(Out, Now);
  if (Leaving) {
    NextProbe = NextSync = NextDeadProbe = NextForget =
        Now + Config.ProbePeriod;
    return Out;
  }

  if (Pending && !Pending->Indirect && isDue(Now, Pending->DirectUntil))
    requestIndirectProbes(Out, Now);
  if (isDue(Now, NextProbe))
    startProbe(Out, Now);
  if (isDue(Now, NextSync))
    startSync(Out, Now);
  if (isDue(Now, NextDeadProbe))
    probeDead(Out, Now);
  if (isDue(Now, NextForget)) {
    Table.forget(Now - Config.ForgetAfter);
    NextForget = Now + Duration(Config.ForgetAfter) / 8;
  }
  return Out;
}

void SwimProtocol::expireSuspicions(TimePoint Now) {
  const std::vector<Suspicion> Previous = std::exchange(Suspicions, {});
  for (const Suspicion &Each : Previous) {
    const Member *Known = Table.find(Each.Id);
    if (!Known || Known->State != MemberState::Suspect ||
        Known->Number != Each.Number)
      continue;
    if (!isDue(Now, Each.Until)) {
      Suspicions.push_back(Each);
      continue;
    }
    ++Counts.DeclaredDead;
    merge({Each.Id, MemberState::Dead, Each.Number, Known->InfoNumber,
           std::nullopt},
          Now, Source::Local);
  }
}

void SwimProtocol::requestIndirectProbes(std::vector<Outgoing> &Out,
                                         TimePoint Now) {
  Pending->Indirect = true;
  const Member *Target = Table.find(Pending->Target);
  if (!Target)
    return;

  const ProbeRequest Ask{Pending->Sequence, Target->Id, Target->Info.Address};
  for (const Slot Position :
       Table.sample(Rng, Config.IndirectProbes, [&](const Member &Other) {
         return isPeer(Other) && Other.Id != Ask.Target;
       })) {
    const Member &Helper = *Table.at(Position);
    send(Out, Helper.Info.Address, &Helper, Ask, Now);
  }
}

const Member *SwimProtocol::nextProbeTarget() {
  // Entries are probed directly by all members at a bounded rate, so that their
  // confirmation of the configuration spreads from many members at once.
  const double Share = std::min(
      1.0 / static_cast<double>(Config.EntryProbeEvery),
      Config.EntryProbesPerSecond * static_cast<double>(Table.entryCount()) /
          static_cast<double>(Table.reachableCount()));
  if (Rng.unit() < Share) {
    const auto Entry = Table.sample(Rng, 1, [this](const Member &Other) {
      return isPeer(Other) && Other.Info.Role == MemberRole::Entry;
    });
    if (!Entry.empty())
      return Table.at(Entry.front());
  }

  // Each round probes all members in random order, which bounds the time until
  // a given member is probed.
  for (int Round = 0; Round < 2; ++Round) {
    while (!ProbeOrder.empty()) {
      const Member *Candidate = Table.at(ProbeOrder.back());
      ProbeOrder.pop_back();
      if (Candidate && isPeer(*Candidate))
        return Candidate;
    }
    Table.forEach([this](const Member &Other) {
      if (isPeer(Other))
        ProbeOrder.push_back(*Table.slotOf(Other.Id));
    });
    for (std::size_t Left = ProbeOrder.size(); Left > 1; --Left)
      std::swap(ProbeOrder[Left - 1], ProbeOrder[Rng.below(Left)]);
  }
  return nullptr;
}

void SwimProtocol::startProbe(std::vector<Outgoing> &Out, TimePoint Now) {
  NextProbe = Now + Config.ProbePeriod;
  if (Pending) {
    const Member *Unanswered = Table.find(Pending->Target);
    if (Unanswered && Unanswered->State == MemberState::Alive) {
      ++Counts.Suspected;
      merge({Unanswered->Id, MemberState::Suspect, Unanswered->Number,
             Unanswered->InfoNumber, std::nullopt},
            Now);
    }
    Pending.reset();
  }

  const Member *Target = nextProbeTarget();
  if (!Target)
    return;
  Pending = PendingProbe{NextSequence++, Target->Id, Now + Config.ProbeTimeout,
                         false};
  const std::size_t Before = Out.size();
  send(Out, Target->Info.Address, Target, Probe{Pending->Sequence}, Now);
  // A probe dropped by the rate limit must not lead to a suspicion.
  if (Out.size() == Before)
    Pending.reset();
}

void SwimProtocol::startSync(std::vector<Outgoing> &Out, TimePoint Now) {
  NextSync = Now + jittered(Config.SyncPeriod);
  const auto Partner = Table.sample(
      Rng, 1, [this](const Member &Other) { return isPeer(Other); });
  if (Partner.empty()) {
    NextSync = Now + jittered(Config.SyncAgain);
    for (const MemberAddress &Seed : Seeds)
      send(Out, Seed, nullptr, SyncDigest{Table.digest()}, Now);
    return;
  }
  const Member &Peer = *Table.at(Partner.front());
  send(Out, Peer.Info.Address, &Peer, SyncDigest{Table.digest()}, Now);
}

void SwimProtocol::probeDead(std::vector<Outgoing> &Out, TimePoint Now) {
  NextDeadProbe = Now + jittered(Config.DeadProbePeriod);
  if (Table.size() == Table.reachableCount())
    return;
  const auto Dead = Table.sample(Rng, 1, [](const Member &Other) {
    return Other.State == MemberState::Dead;
  });
  if (Dead.empty())
    return;
  const Member &Peer = *Table.at(Dead.front());
  send(Out, Peer.Info.Address, &Peer, Probe{NextSequence++}, Now);
}

// ---- changes of this member ----

std::vector<Outgoing> SwimProtocol::changeInfo(MemberInfo NewInfo,
                                               TimePoint Now) {
  Info = std::move(NewInfo);
  Number = Number.next();
  Table.apply({Self, MemberState::Alive, Number, Number, Info}, Now);
  enqueue(Self, true);
  NoticesLeft = Config.NoticeRepeats;

  std::vector<Outgoing> Out;
  sendNotices(Out, Now);
  return Out;
}

std::vector<Outgoing> SwimProtocol::leave(TimePoint Now) {
  Leaving = true;
  Table.apply({Self, MemberState::Left, Number, Number, std::nullopt}, Now);
  enqueue(Self, false);
  NoticesLeft = Config.NoticeRepeats;

  std::vector<Outgoing> Out;
  sendNotices(Out, Now);
  return Out;
}

void SwimProtocol::sendNotices(std::vector<Outgoing> &Out, TimePoint Now) {
  --NoticesLeft;
  NextNotice = Now + NoticeInterval;

  // Entries route work, so they are notified directly instead of by gossip.
  auto Receivers =
      Table.sample(Rng, Config.NoticeTargets, [this](const Member &Other) {
        return isPeer(Other) && Other.Info.Role == MemberRole::Entry;
      });
  for (const Slot Position : Table.sample(Rng, 4, [this](const Member &Other) {
         return isPeer(Other) && Other.Info.Role == MemberRole::Agent;
       }))
    Receivers.push_back(Position);

  refill(Now);
  Datagram Message = envelope(Notice{}, Now);
  Message.Updates.push_back(
      MembershipTable::updateOf(*Table.find(Self), !Leaving));
  for (const Slot Position : Receivers)
    sendRateLimited(Out, Table.at(Position)->Info.Address, Message);
}

std::vector<Outgoing> SwimProtocol::join(std::vector<MemberAddress> Addresses,
                                         TimePoint Now) {
  Seeds = std::move(Addresses);
  std::vector<Outgoing> Out;
  startSync(Out, Now);
  return Out;
}

std::vector<Outgoing>
SwimProtocol::syncWithListed(const std::vector<ListedEntry> &Listed,
                             TimePoint Now) {
  std::vector<ListedEntry> Unreachable;
  for (const ListedEntry &Each : Listed) {
    const Member *Known = Table.find(Each.Id);
    if (Each.Id != Self && (!Known || !Known->reachable()))
      Unreachable.push_back(Each);
  }

  std::vector<Outgoing> Out;
  for (std::size_t Left = Unreachable.size();
       Left > 0 && Unreachable.size() - Left < Config.ListedSyncTargets;
       --Left) {
    std::swap(Unreachable[Left - 1], Unreachable[Rng.below(Left)]);
    const ListedEntry &Chosen = Unreachable[Left - 1];
    send(Out, Chosen.Address, Table.find(Chosen.Id), SyncDigest{Table.digest()},
         Now);
  }
  return Out;
}

// ---- receiving ----

/// Handles the body of a datagram by its type.
struct SwimProtocol::BodyHandler {
  SwimProtocol &Owner;
  std::vector<Outgoing> &Out;
  const MemberAddress &From;
  const Datagram &Message;
  TimePoint Now;

  const Member *sender() const { return Owner.Table.find(Message.Sender); }

  void operator()(const Probe &Body) const {
    Owner.send(Out, From, sender(), ProbeAck{Body.Sequence}, Now);
  }

  void operator()(const ProbeAck &Body) const {
    if (Owner.Pending && Owner.Pending->Sequence == Body.Sequence)
      Owner.Pending.reset();
    for (const Relay &Each : Owner.Relays)
      if (Each.Sequence == Body.Sequence)
        Owner.send(Out, Each.Origin, nullptr, ProbeAck{Each.OriginSequence},
                   Now);
    std::erase_if(Owner.Relays, [&](const Relay &Each) {
      return Each.Sequence == Body.Sequence || isDue(Now, Each.Until);
    });
  }

  void operator()(const ProbeRequest &Body) const {
    if (Owner.Relays.size() >= MaxBuffered)
      return;
    const std::uint64_t Sequence = Owner.NextSequence++;
    Owner.Relays.push_back(
        {Sequence, Body.Sequence, From, Now + Owner.Config.ProbePeriod});
    Owner.send(Out, Body.Address, Owner.Table.find(Body.Target),
               Probe{Sequence}, Now);
  }

  void operator()(const Notice &) const {}
  void operator()(const VersionRefusal &) const {}

  void operator()(const SyncDigest &Body) const {
    std::vector<std::uint8_t> Different;
    const auto &Mine = Owner.Table.digest();
    for (std::size_t Bucket = 0; Bucket < Mine.size(); ++Bucket)
      if (Mine[Bucket] != Body.Hashes[Bucket])
        Different.push_back(static_cast<std::uint8_t>(Bucket));
    if (!Different.empty())
      Owner.sendBucketSummaries(Out, From, Different, Now);
  }

  void operator()(const SyncBuckets &Body) const {
    Owner.NextSync =
        std::min(Owner.NextSync, Now + Owner.jittered(Owner.Config.SyncAgain));
    Owner.answerBucketSummaries(Out, From, Body, Now);
  }

  void operator()(const SyncRecords &Body) const {
    std::vector<MemberUpdate> Answers;
    for (const std::uint32_t Key : Body.Wanted)
      if (const Member *Known = Owner.Table.findKey(Key))
        Answers.push_back(MembershipTable::updateOf(*Known, true));
    Owner.sendUpdates(Out, From, std::move(Answers), {}, Now);
  }

  void operator()(const Payload &Body) const {
    if (Owner.Payloads.size() < MaxBuffered)
      Owner.Payloads.push_back({Message.Sender, Body.Bytes});
  }
};

void SwimProtocol::sendBucketSummaries(
    std::vector<Outgoing> &Out, const MemberAddress &To,
    const std::vector<std::uint8_t> &Different, TimePoint Now) {
  refill(Now);
  // The random start lets tables that are too large for one exchange converge
  // over several.
  const std::size_t Start = Rng.below(Different.size());
  Datagram Message = envelope(SyncBuckets{}, Now);
  std::size_t UsedRoom = 0;
  const auto Flush = [&] {
    if (MembershipTokens > SyncReserveBytes)
      sendRateLimited(Out, To, Message);
    std::get<SyncBuckets>(Message.Body).Parts.clear();
    UsedRoom = 0;
  };

  for (std::size_t Step = 0;
       Step < Different.size() && MembershipTokens > SyncReserveBytes; ++Step) {
    const std::uint8_t Bucket = Different[(Start + Step) % Different.size()];
    const auto All = Table.summarize(Bucket);
    std::size_t Next = 0;
    std::uint32_t First = 0;
    do {
      // The header of a part takes about the room of two summaries.
      if (UsedRoom + 2 >= MaxSummariesPerDatagram)
        Flush();
      const std::size_t Count =
          std::min(All.size() - Next, MaxSummariesPerDatagram - UsedRoom - 2);
      BucketPart Part{Bucket, First, 0, {}};
      Part.Records.assign(All.begin() + static_cast<std::ptrdiff_t>(Next),
                          All.begin() +
                              static_cast<std::ptrdiff_t>(Next + Count));
      Next += Count;
      Part.Last =
          Next == All.size() ? ~std::uint32_t{0} : Part.Records.back().Key;
      First = Part.Last + 1;
      UsedRoom += Count + 2;
      std::get<SyncBuckets>(Message.Body).Parts.push_back(std::move(Part));
    } while (Next < All.size());
  }
  if (UsedRoom != 0)
    Flush();
}

void SwimProtocol::answerBucketSummaries(std::vector<Outgoing> &Out,
                                         const MemberAddress &To,
                                         const SyncBuckets &Theirs,
                                         TimePoint Now) {
  std::vector<MemberUpdate> Newer;
  std::vector<std::uint32_t> Wanted;
  for (const BucketPart &Part : Theirs.Parts) {
    std::map<std::uint32_t, std::uint32_t> Remote;
    for (const RecordSummary &Summary : Part.Records)
      Remote.emplace(Summary.Key, Summary.Hash);

    for (const RecordSummary &Mine : Table.summarize(Part.Bucket)) {
      if (Mine.Key < Part.First || Mine.Key > Part.Last)
        continue;
      const auto Found = Remote.find(Mine.Key);
      const bool IsMissing = Found == Remote.end();
      const bool IsEqual = !IsMissing && Found->second == Mine.Hash;
      if (!IsMissing)
        Remote.erase(Found);
      if (IsEqual)
        continue;
      const Member *Known = Table.findKey(Mine.Key);
      // A dead member that is missing at the peer would not be stored there.
      if (IsMissing && !Known->reachable())
        continue;
      Newer.push_back(MembershipTable::updateOf(*Known, true));
      if (!IsMissing)
        Wanted.push_back(Mine.Key);
    }
    for (const auto &[Key, Hash] : Remote)
      Wanted.push_back(Key);
  }
  sendUpdates(Out, To, std::move(Newer), std::move(Wanted), Now);
}

std::vector<Outgoing> SwimProtocol::receive(const MemberAddress &From,
                                            std::string_view Bytes,
                                            TimePoint Now) {
  ++Counts.Received;
  Counts.ReceivedBytes += Bytes.size();
  Datagram Message;
  try {
    Message = decode(Bytes);
  } catch (const UnsupportedVersion &) {
    ++Counts.OtherVersion;
    throw;
  } catch (const MalformedDatagram &) {
    ++Counts.Malformed;
    throw;
  }

  std::vector<Outgoing> Out;
  if (Leaving || Message.Sender == Self)
    return Out;

  const Member *Before = Table.find(Message.Sender);
  const bool WasDead = Before && Before->State == MemberState::Dead;
  const bool IsFromTable = std::holds_alternative<SyncRecords>(Message.Body);
  for (const MemberUpdate &Update : Message.Updates)
    merge(Update, Now, IsFromTable ? Source::Table : Source::Gossip);
  observeSender(Message, Now);
  std::visit(BodyHandler{*this, Out, From, Message, Now}, Message.Body);

  requestInfoAndCorrectSender(Out, From, Message, Now);
  probeReportedDead(Out, Now);
  // A datagram from a member recorded as dead means that a network partition
  // has healed: both sides compare their tables at once.
  if (WasDead)
    send(Out, From, Table.find(Message.Sender), SyncDigest{Table.digest()},
         Now);
  return Out;
}

void SwimProtocol::probeReportedDead(std::vector<Outgoing> &Out,
                                     TimePoint Now) {
  for (std::size_t Probed = 0;
       Probed < MaxReportedDeadProbes && !ReportedDead.empty(); ++Probed) {
    const Member *Suspected = Table.find(ReportedDead.back());
    ReportedDead.pop_back();
    if (Suspected && Suspected->State == MemberState::Suspect)
      send(Out, Suspected->Info.Address, Suspected, Probe{NextSequence++}, Now);
  }
}

void SwimProtocol::requestInfoAndCorrectSender(std::vector<Outgoing> &Out,
                                               const MemberAddress &From,
                                               const Datagram &Message,
                                               TimePoint Now) {
  std::vector<std::uint32_t> Wanted;
  for (const ProcessId &Id : std::exchange(MissingInfo, {}))
    Wanted.push_back(MembershipTable::keyOf(Id));

  // A process that was restarted after its clock went back does not know that
  // its incarnation is lower than the previous one.
  std::vector<MemberUpdate> Correction;
  const Member *Sender = Table.find(Message.Sender);
  if (Sender && Message.Number < Sender->Number)
    Correction.push_back(MembershipTable::updateOf(*Sender, true));
  if (!Wanted.empty() || !Correction.empty())
    sendUpdates(Out, From, std::move(Correction), std::move(Wanted), Now);
}

std::vector<Outgoing> SwimProtocol::refuse(const MemberAddress &From,
                                           TimePoint Now) {
  std::vector<Outgoing> Out;
  refill(Now);
  sendRateLimited(Out, From, envelope(VersionRefusal{}, Now));
  return Out;
}

} // namespace daisyspool
