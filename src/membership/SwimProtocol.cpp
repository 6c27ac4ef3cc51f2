#include "daisyspool/membership/SwimProtocol.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <map>

namespace daisyspool {

namespace {

/// Bytes that membership may send in one burst, in seconds of the rate limit.
constexpr double BurstSeconds = 1.0;
/// The same for payloads, which may use what an ordinary minute left over: a
/// change of the configuration goes to 4 members at once or spreads too late.
constexpr double PayloadBurstSeconds = 16.0;
constexpr double PayloadReserve = 8192;
/// Tokens kept for probes and their answers when updates or tables are sent.
constexpr double UpdateReserve = 400;
constexpr double SyncReserve = 1600;
constexpr std::size_t EnvelopeRoom = 24;
/// A tick that is this much late means that the process was paused.
constexpr Millis PauseThreshold{2000};
constexpr Millis NoticeSpacing{500};
constexpr std::size_t MaxHeld = 4096;
constexpr std::size_t SummariesInPart = 120;
constexpr std::size_t WantedInDatagram = 64;
/// Doubted members asked after one datagram.
constexpr std::size_t DoubtsAtOnce = 8;

bool due(TimePoint Now, TimePoint When) { return Now >= When; }

std::uint32_t ageInMillis(TimePoint Now, TimePoint Since) {
  const auto Age = std::chrono::duration_cast<Millis>(Now - Since).count();
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(Age, 0, 3600000));
}

} // namespace

SwimProtocol::SwimProtocol(Options Config, ProcessId Id, Incarnation First,
                           MemberInfo Info, std::uint64_t Seed, TimePoint Now)
    : Config(Config), Self(std::move(Id)), Number(First), Info(std::move(Info)),
      Rng(Seed), Tokens(static_cast<double>(Config.BytesPerSecond)),
      Saved(Tokens * PayloadBurstSeconds), LastRefill(Now), LastTick(Now) {
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

double SwimProtocol::logMembers() const {
  return std::max(1.0, std::log10(double(Table.reachableCount()) + 1));
}

Duration SwimProtocol::jittered(Millis Period) {
  const auto Base = static_cast<double>(Duration(Period).count());
  return Duration(static_cast<std::int64_t>(Base * (0.8 + 0.4 * Rng.unit())));
}

void SwimProtocol::setConfigStamp(ConfigVersion NewVersion,
                                  std::optional<TimePoint> When) {
  Version = NewVersion;
  Confirmed = When;
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
  if (Queue.empty())
    Queue.emplace_back();
  // A refutation overtakes the suspicions that it ends.
  const Member *Known = Table.find(Id);
  if (Known && Known->State == MemberState::Alive)
    Queue.front().push_front({Id, Generation, WithInfo});
  else
    Queue.front().push_back({Id, Generation, WithInfo});
}

void SwimProtocol::refute(const MemberUpdate &Update) {
  const bool Older = Update.Number < Number;
  const bool Same = Update.Number == Number &&
                    Update.State == MemberState::Alive &&
                    (!Update.Info || *Update.Info == Info);
  if (Older || Same || Leaving)
    return;

  // Another life of this id, or a peer that suspects it.
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
  // News of a death only starts a suspicion here, so that the end of a cut does
  // not kill members that the other side could not reach.
  bool Doubted = false;
  if (Update.State == MemberState::Dead && From != Source::Own && Known &&
      Known->reachable()) {
    Update.State = MemberState::Suspect;
    Doubted = Known->State == MemberState::Alive;
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

  // A record that fills a gap in this table is no news to others. A doubted
  // member is asked directly, which costs less than spreading the doubt.
  if (Doubted)
    Doubts.push_back(Update.Id);
  else if (Before || From == Source::Gossip)
    enqueue(Update.Id, !Before || Known->InfoNumber > InfoBefore);
  if (Known->State == MemberState::Suspect) {
    const auto Wait = Duration(static_cast<std::int64_t>(
        Config.SuspicionFactor * logMembers() *
        static_cast<double>(Duration(Config.ProbePeriod).count())));
    Suspicions.push_back({Update.Id, Known->Number, Now + Wait});
  }
  if (Changed && (Before != Known->State || Known->InfoNumber > InfoBefore))
    Changed(*Known, Before);
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
  for (const Slot Place : Table.sample(
           Rng, Count, [this](const Member &Other) { return isPeer(Other); }))
    Sample.push_back(MembershipTable::updateOf(*Table.at(Place), true));
  return Sample;
}

std::vector<ProcessId> SwimProtocol::randomPeers(std::size_t Count) {
  std::vector<ProcessId> Peers;
  for (const Slot Place : Table.sample(
           Rng, Count, [this](const Member &Other) { return isPeer(Other); }))
    Peers.push_back(Table.at(Place)->Id);
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
  Table.heardConfig(Message.Sender, Message.Config.Version);
  if (Stamps.size() < MaxHeld)
    Stamps.push_back({Message.Sender, Message.Config});
}

// ---- sending ----

Datagram SwimProtocol::envelope(DatagramBody Body, TimePoint Now) const {
  Datagram Message{Self, Number, {Version, std::nullopt}, std::move(Body), {}};
  if (Confirmed)
    Message.Config.Age = Millis(ageInMillis(Now, *Confirmed));
  return Message;
}

void SwimProtocol::refill(TimePoint Now) {
  const double Rate = static_cast<double>(Config.BytesPerSecond);
  const double Elapsed =
      std::chrono::duration<double>(Now - LastRefill).count();
  Tokens = std::min(Rate * BurstSeconds, Tokens + Rate * Elapsed);
  Saved = std::min(Rate * PayloadBurstSeconds, Saved + Rate * Elapsed);
  LastRefill = std::max(LastRefill, Now);
}

void SwimProtocol::emit(std::vector<Outgoing> &Out, const MemberAddress &To,
                        const Datagram &Message) {
  std::string Bytes = encode(Message);
  assert(Bytes.size() <= MaxDatagramBytes);
  const auto Cost = static_cast<double>(Bytes.size());
  const bool IsPayload = std::holds_alternative<Payload>(Message.Body);
  if (IsPayload ? Saved < Cost + PayloadReserve
                : std::min(Tokens, Saved) < Cost) {
    ++Counts.Limited;
    return;
  }

  Saved -= Cost;
  if (!IsPayload)
    Tokens -= Cost;
  ++Counts.Sent;
  Counts.SentBytes += Bytes.size();
  Out.push_back({To, std::move(Bytes)});
}

void SwimProtocol::attachRecordOf(const Member &To, Datagram &Message) {
  // A suspected member must hear of it in order to refute it.
  if (To.State != MemberState::Alive)
    Message.Updates.push_back(MembershipTable::updateOf(To, false));
}

void SwimProtocol::attachQueued(Datagram &Message, std::size_t Room) {
  const auto Limit = static_cast<std::size_t>(
      std::ceil(Config.RetransmitFactor * logMembers()));
  std::vector<std::pair<std::size_t, Queued>> SentOnce;

  // The least transmitted updates go first.
  for (std::size_t Level = 0; Level < Queue.size() && Room > EnvelopeRoom;
       ++Level) {
    while (!Queue[Level].empty()) {
      Queued Next = Queue[Level].front();
      const Member *Known = Table.find(Next.Id);
      const auto Latest = Generations.find(Next.Id);
      if (!Known || Latest == Generations.end() ||
          Latest->second != Next.Generation) {
        Queue[Level].pop_front();
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
      Queue[Level].pop_front();
      SentOnce.emplace_back(Level + 1, std::move(Next));
    }
  }

  for (auto &[Level, Sent] : SentOnce) {
    if (Level >= Limit) {
      Generations.erase(Sent.Id);
      continue;
    }
    if (Queue.size() <= Level)
      Queue.resize(Level + 1);
    Queue[Level].push_back(std::move(Sent));
  }
}

void SwimProtocol::send(std::vector<Outgoing> &Out, const MemberAddress &To,
                        const Member *Peer, DatagramBody Body, TimePoint Now) {
  refill(Now);
  Datagram Message = envelope(std::move(Body), Now);
  if (Peer)
    attachRecordOf(*Peer, Message);

  const std::size_t Bare = encode(Message).size() + EnvelopeRoom;
  const double Spare = Tokens - UpdateReserve - static_cast<double>(Bare);
  if (Spare > 0 && Bare < MaxDatagramBytes)
    attachQueued(Message, std::min(MaxDatagramBytes - Bare,
                                   static_cast<std::size_t>(Spare)));
  emit(Out, To, Message);
}

void SwimProtocol::sendUpdates(std::vector<Outgoing> &Out,
                               const MemberAddress &To,
                               std::vector<MemberUpdate> Updates,
                               std::vector<std::uint32_t> Wanted,
                               TimePoint Now) {
  refill(Now);
  std::size_t Next = 0;
  while ((Next < Updates.size() || !Wanted.empty()) && Tokens > SyncReserve) {
    SyncRecords Body;
    const std::size_t Asked = std::min(Wanted.size(), WantedInDatagram);
    Body.Wanted.assign(Wanted.end() - static_cast<std::ptrdiff_t>(Asked),
                       Wanted.end());
    Wanted.resize(Wanted.size() - Asked);

    Datagram Message = envelope(std::move(Body), Now);
    std::size_t Used = encode(Message).size() + EnvelopeRoom;
    while (Next < Updates.size()) {
      Used += encodedSize(Updates[Next]);
      if (Used > MaxDatagramBytes)
        break;
      Message.Updates.push_back(std::move(Updates[Next++]));
    }
    emit(Out, To, Message);
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
  emit(Out, Peer->Info.Address, Message);
  if (Out.empty())
    return std::nullopt;
  return std::move(Out.front());
}

// ---- time ----

TimePoint SwimProtocol::nextWake() const {
  TimePoint Wake = std::min({NextProbe, NextSync, NextDeadProbe, NextForget});
  if (Open && !Open->Indirect)
    Wake = std::min(Wake, Open->DirectUntil);
  if (NoticesLeft != 0)
    Wake = std::min(Wake, NextNotice);
  return Wake;
}

void SwimProtocol::resumeAfterPause(TimePoint Now) {
  const Duration Gap = Now - LastTick;
  LastTick = Now;
  if (Gap < Config.ProbePeriod + PauseThreshold)
    return;

  // Answers and refutations that arrived during a pause have not been read;
  // time passed without them must not kill a live member.
  Open.reset();
  for (Suspicion &Entry : Suspicions)
    Entry.Until += Gap;
}

std::vector<Outgoing> SwimProtocol::tick(TimePoint Now) {
  std::vector<Outgoing> Out;
  resumeAfterPause(Now);
  expireSuspicions(Now);
  if (NoticesLeft != 0 && due(Now, NextNotice))
    sendNotices(Out, Now);
  if (Leaving) {
    NextProbe = NextSync = NextDeadProbe = NextForget =
        Now + Config.ProbePeriod;
    return Out;
  }

  if (Open && !Open->Indirect && due(Now, Open->DirectUntil))
    askIndirectly(Out, Now);
  if (due(Now, NextProbe))
    startProbe(Out, Now);
  if (due(Now, NextSync))
    startSync(Out, Now);
  if (due(Now, NextDeadProbe))
    probeDead(Out, Now);
  if (due(Now, NextForget)) {
    Table.forget(Now - Config.ForgetAfter);
    NextForget = Now + Duration(Config.ForgetAfter) / 8;
  }
  return Out;
}

void SwimProtocol::expireSuspicions(TimePoint Now) {
  const std::vector<Suspicion> Held = std::exchange(Suspicions, {});
  for (const Suspicion &Entry : Held) {
    const Member *Known = Table.find(Entry.Id);
    if (!Known || Known->State != MemberState::Suspect ||
        Known->Number != Entry.Number)
      continue;
    if (!due(Now, Entry.Until)) {
      Suspicions.push_back(Entry);
      continue;
    }
    ++Counts.DeclaredDead;
    merge({Entry.Id, MemberState::Dead, Entry.Number, Known->InfoNumber,
           std::nullopt},
          Now, Source::Own);
  }
}

void SwimProtocol::askIndirectly(std::vector<Outgoing> &Out, TimePoint Now) {
  Open->Indirect = true;
  const Member *Target = Table.find(Open->Target);
  if (!Target)
    return;

  const ProbeRequest Ask{Open->Sequence, Target->Id, Target->Info.Address};
  for (const Slot Place :
       Table.sample(Rng, Config.IndirectProbes, [&](const Member &Other) {
         return isPeer(Other) && Other.Id != Ask.Target;
       })) {
    const Member &Helper = *Table.at(Place);
    send(Out, Helper.Info.Address, &Helper, Ask, Now);
  }
}

const Member *SwimProtocol::nextProbeTarget() {
  // Entries hear from everyone at a bounded rate, so that a confirmation of
  // the configuration starts from many members at once.
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

  // A shuffled round bounds the time until a given member is probed.
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
  if (Open) {
    const Member *Silent = Table.find(Open->Target);
    if (Silent && Silent->State == MemberState::Alive) {
      ++Counts.Suspected;
      merge({Silent->Id, MemberState::Suspect, Silent->Number,
             Silent->InfoNumber, std::nullopt},
            Now);
    }
    Open.reset();
  }

  const Member *Target = nextProbeTarget();
  if (!Target)
    return;
  Open =
      OpenProbe{NextSequence++, Target->Id, Now + Config.ProbeTimeout, false};
  const std::size_t Before = Out.size();
  send(Out, Target->Info.Address, Target, Probe{Open->Sequence}, Now);
  // A probe that the rate limit held back says nothing about its target.
  if (Out.size() == Before)
    Open.reset();
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

// ---- own changes ----

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
  NextNotice = Now + NoticeSpacing;

  // Entries route work, so they must not wait for gossip to reach them.
  auto Receivers =
      Table.sample(Rng, Config.NoticeTargets, [this](const Member &Other) {
        return isPeer(Other) && Other.Info.Role == MemberRole::Entry;
      });
  for (const Slot Place : Table.sample(Rng, 4, [this](const Member &Other) {
         return isPeer(Other) && Other.Info.Role == MemberRole::Agent;
       }))
    Receivers.push_back(Place);

  refill(Now);
  Datagram Message = envelope(Notice{}, Now);
  Message.Updates.push_back(
      MembershipTable::updateOf(*Table.find(Self), !Leaving));
  for (const Slot Place : Receivers)
    emit(Out, Table.at(Place)->Info.Address, Message);
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
  std::vector<ListedEntry> Unreached;
  for (const ListedEntry &Each : Listed) {
    const Member *Known = Table.find(Each.Id);
    if (Each.Id != Self && (!Known || !Known->reachable()))
      Unreached.push_back(Each);
  }

  std::vector<Outgoing> Out;
  for (std::size_t Left = Unreached.size();
       Left > 0 && Unreached.size() - Left < Config.ListedSyncTargets; --Left) {
    std::swap(Unreached[Left - 1], Unreached[Rng.below(Left)]);
    const ListedEntry &Chosen = Unreached[Left - 1];
    send(Out, Chosen.Address, Table.find(Chosen.Id), SyncDigest{Table.digest()},
         Now);
  }
  return Out;
}

// ---- receiving ----

/// Answers each kind of message.
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
    if (Owner.Open && Owner.Open->Sequence == Body.Sequence)
      Owner.Open.reset();
    for (const Relay &Entry : Owner.Relays)
      if (Entry.Sequence == Body.Sequence)
        Owner.send(Out, Entry.Origin, nullptr, ProbeAck{Entry.OriginSequence},
                   Now);
    std::erase_if(Owner.Relays, [&](const Relay &Entry) {
      return Entry.Sequence == Body.Sequence || due(Now, Entry.Until);
    });
  }

  void operator()(const ProbeRequest &Body) const {
    if (Owner.Relays.size() >= MaxHeld)
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
      Owner.sendSummaries(Out, From, Different, Now);
  }

  void operator()(const SyncBuckets &Body) const {
    Owner.NextSync =
        std::min(Owner.NextSync, Now + Owner.jittered(Owner.Config.SyncAgain));
    Owner.answerSummaries(Out, From, Body, Now);
  }

  void operator()(const SyncRecords &Body) const {
    std::vector<MemberUpdate> Answers;
    for (const std::uint32_t Key : Body.Wanted)
      if (const Member *Known = Owner.Table.findKey(Key))
        Answers.push_back(MembershipTable::updateOf(*Known, true));
    Owner.sendUpdates(Out, From, std::move(Answers), {}, Now);
  }

  void operator()(const Payload &Body) const {
    if (Owner.Payloads.size() < MaxHeld)
      Owner.Payloads.push_back({Message.Sender, Body.Bytes});
  }
};

void SwimProtocol::sendSummaries(std::vector<Outgoing> &Out,
                                 const MemberAddress &To,
                                 const std::vector<std::uint8_t> &Different,
                                 TimePoint Now) {
  refill(Now);
  // Starting anywhere lets a table too large for one exchange converge over
  // several.
  const std::size_t Start = Rng.below(Different.size());
  Datagram Message = envelope(SyncBuckets{}, Now);
  std::size_t Held = 0;
  const auto Flush = [&] {
    if (Tokens > SyncReserve)
      emit(Out, To, Message);
    std::get<SyncBuckets>(Message.Body).Parts.clear();
    Held = 0;
  };

  for (std::size_t Step = 0; Step < Different.size() && Tokens > SyncReserve;
       ++Step) {
    const std::uint8_t Bucket = Different[(Start + Step) % Different.size()];
    const auto All = Table.summarize(Bucket);
    std::size_t Next = 0;
    std::uint32_t First = 0;
    do {
      // A part costs about two records of room besides its records.
      if (Held + 2 >= SummariesInPart)
        Flush();
      const std::size_t Count =
          std::min(All.size() - Next, SummariesInPart - Held - 2);
      BucketPart Part{Bucket, First, 0, {}};
      Part.Records.assign(All.begin() + static_cast<std::ptrdiff_t>(Next),
                          All.begin() +
                              static_cast<std::ptrdiff_t>(Next + Count));
      Next += Count;
      Part.Last =
          Next == All.size() ? ~std::uint32_t{0} : Part.Records.back().Key;
      First = Part.Last + 1;
      Held += Count + 2;
      std::get<SyncBuckets>(Message.Body).Parts.push_back(std::move(Part));
    } while (Next < All.size());
  }
  if (Held != 0)
    Flush();
}

void SwimProtocol::answerSummaries(std::vector<Outgoing> &Out,
                                   const MemberAddress &To,
                                   const SyncBuckets &Theirs, TimePoint Now) {
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
      const bool Missing = Found == Remote.end();
      const bool Equal = !Missing && Found->second == Mine.Hash;
      if (!Missing)
        Remote.erase(Found);
      if (Equal)
        continue;
      const Member *Known = Table.findKey(Mine.Key);
      // A dead member that the peer does not know is not worth teaching.
      if (Missing && !Known->reachable())
        continue;
      Newer.push_back(MembershipTable::updateOf(*Known, true));
      if (!Missing)
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
  const bool IsTable = std::holds_alternative<SyncRecords>(Message.Body);
  for (const MemberUpdate &Update : Message.Updates)
    merge(Update, Now, IsTable ? Source::Table : Source::Gossip);
  observeSender(Message, Now);
  std::visit(BodyHandler{*this, Out, From, Message, Now}, Message.Body);

  askAndCorrect(Out, From, Message, Now);
  askDoubted(Out, Now);
  // A cut has ended: both sides learn at once what the other believed.
  if (WasDead)
    send(Out, From, Table.find(Message.Sender), SyncDigest{Table.digest()},
         Now);
  return Out;
}

void SwimProtocol::askDoubted(std::vector<Outgoing> &Out, TimePoint Now) {
  for (std::size_t Asked = 0; Asked < DoubtsAtOnce && !Doubts.empty();
       ++Asked) {
    const Member *Doubted = Table.find(Doubts.back());
    Doubts.pop_back();
    if (Doubted && Doubted->State == MemberState::Suspect)
      send(Out, Doubted->Info.Address, Doubted, Probe{NextSequence++}, Now);
  }
}

void SwimProtocol::askAndCorrect(std::vector<Outgoing> &Out,
                                 const MemberAddress &From,
                                 const Datagram &Message, TimePoint Now) {
  std::vector<std::uint32_t> Wanted;
  for (const ProcessId &Id : std::exchange(MissingInfo, {}))
    Wanted.push_back(MembershipTable::keyOf(Id));

  // A restarted process whose clock went back does not know that its number is
  // below that of its earlier life.
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
  emit(Out, From, envelope(VersionRefusal{}, Now));
  return Out;
}

} // namespace daisyspool
