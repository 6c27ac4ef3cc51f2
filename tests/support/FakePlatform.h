#ifndef DAISYSPOOL_TESTS_SUPPORT_FAKEPLATFORM_H
#define DAISYSPOOL_TESTS_SUPPORT_FAKEPLATFORM_H

#include "MemoryTable.h"
#include "daisyspool/core/Clock.h"
#include "daisyspool/core/Random.h"
#include "daisyspool/platform/ObjectStore.h"
#include "daisyspool/platform/TableService.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <mutex>

namespace daisyspool {

/// Faults of the connection between one client and the platform. All are off
/// initially; a test changes them between calls.
struct PlatformFaults {
  /// Every call fails with PlatformUnavailable and has no effect.
  bool Down = false;
  /// Every call fails with PlatformThrottled.
  bool Throttled = false;
  /// Every call fails with PlatformProtocolError and has no effect.
  bool Nonsense = false;
  /// Number of next writes that fail with PlatformUnavailable after they took
  /// effect.
  unsigned LoseAnswers = 0;
  /// Number of next writes that fail with PlatformUnavailable without effect.
  unsigned LoseRequests = 0;
  /// Number of next writes that fail with PlatformUnavailable and take effect
  /// only when FakePlatform::deliverDelayed() is called.
  unsigned DelayRequests = 0;
  /// Probability of each fault per call, drawn from the platform's seed.
  double LoseAnswerShare = 0;
  double LoseRequestShare = 0;
  double DelayRequestShare = 0;
  double ThrottleShare = 0;
};

/// The platform's table and object store in memory, for tests and fuzzing.
///
/// Every client holds its own FakeTable or FakeObjects over one FakePlatform.
/// The faults here affect every client; those of one FakeTable or FakeObjects
/// affect that client only, for example an owner that is disconnected while a
/// candidate takes over. The behaviour is deterministic for a seed and a
/// ManualClock.
///
/// Thread safety: the stores are locked, so clients may be on different
/// threads; change faults while no call is in progress.
class FakePlatform {
public:
  /// Precondition: \p Time outlives this object.
  explicit FakePlatform(const Clock &Time, std::uint64_t Seed = 1)
      : Time(Time), Chance(Seed) {}
  FakePlatform(const FakePlatform &) = delete;
  FakePlatform &operator=(const FakePlatform &) = delete;

  PlatformFaults Faults;
  /// Calls over these rates in one second of the clock fail with
  /// PlatformThrottled; zero means no limit.
  std::size_t WritesPerSecond = 0;
  std::size_t ReadsPerSecond = 0;

  /// Applies the delayed writes in their order. A write whose condition no
  /// longer holds is dropped, as the service would drop it.
  void deliverDelayed() {
    std::lock_guard Lock(Mutex);
    while (!Delayed.empty()) {
      auto Apply = std::move(Delayed.front());
      Delayed.pop_front();
      try {
        Apply();
      } catch (const Error &) {
        continue;
      }
    }
  }

  std::size_t delayedWrites() const { return Delayed.size(); }

  /// Number of calls that reached the platform, answered or not.
  std::size_t reads() const { return ReadCount; }
  std::size_t writes() const { return WriteCount; }

  /// The stored state, for checks beyond the interface of a client.
  const std::map<RowKey, Row> &rows() const { return Table.rows(); }
  const std::map<std::string, std::string> &objects() const { return Objects; }

private:
  friend class FakeTable;
  friend class FakeObjects;

  template <typename Call>
  auto read(PlatformFaults &ClientFaults, Call Perform) {
    std::lock_guard Lock(Mutex);
    refuseIfFaulty(ClientFaults);
    if (draw(&PlatformFaults::LoseRequestShare, ClientFaults) ||
        draw(&PlatformFaults::LoseAnswerShare, ClientFaults))
      throw PlatformUnavailable("read got no answer");

    countCall(ReadCount, ReadsThisSecond, ReadsPerSecond);
    return Perform();
  }

  void write(PlatformFaults &ClientFaults, std::function<void()> Perform) {
    std::lock_guard Lock(Mutex);
    refuseIfFaulty(ClientFaults);
    if (consumeOne(&PlatformFaults::LoseRequests, ClientFaults) ||
        draw(&PlatformFaults::LoseRequestShare, ClientFaults))
      throw PlatformUnavailable("request lost");

    countCall(WriteCount, WritesThisSecond, WritesPerSecond);
    if (consumeOne(&PlatformFaults::DelayRequests, ClientFaults) ||
        draw(&PlatformFaults::DelayRequestShare, ClientFaults)) {
      Delayed.push_back(std::move(Perform));
      throw PlatformUnavailable("request delayed");
    }

    bool Lost = consumeOne(&PlatformFaults::LoseAnswers, ClientFaults) ||
                draw(&PlatformFaults::LoseAnswerShare, ClientFaults);
    try {
      Perform();
    } catch (const Error &) {
      // A refusal is lost in the same way as a success.
      if (!Lost)
        throw;
    }
    if (Lost)
      throw PlatformUnavailable("answer lost");
  }

  void refuseIfFaulty(PlatformFaults &ClientFaults) {
    if (Faults.Down || ClientFaults.Down)
      throw PlatformUnavailable("down");
    if (Faults.Throttled || ClientFaults.Throttled ||
        draw(&PlatformFaults::ThrottleShare, ClientFaults))
      throw PlatformThrottled("throttled");
    if (Faults.Nonsense || ClientFaults.Nonsense)
      throw PlatformProtocolError("nonsense");
  }

  bool consumeOne(unsigned PlatformFaults::*Count,
                  PlatformFaults &ClientFaults) {
    for (PlatformFaults *Each : {&Faults, &ClientFaults}) {
      if (Each->*Count == 0)
        continue;
      --(Each->*Count);
      return true;
    }

    return false;
  }

  bool draw(double PlatformFaults::*Share, const PlatformFaults &ClientFaults) {
    double Highest = std::max(Faults.*Share, ClientFaults.*Share);
    return Highest > 0 && Chance.unit() < Highest;
  }

  void countCall(std::size_t &Total, std::size_t &ThisSecond,
                 std::size_t Limit) {
    auto Second =
        std::chrono::floor<std::chrono::seconds>(Time.now().time_since_epoch());
    if (Second != CountedSecond) {
      CountedSecond = Second;
      ReadsThisSecond = 0;
      WritesThisSecond = 0;
    }
    if (Limit != 0 && ThisSecond >= Limit)
      throw PlatformThrottled("rate limit");

    ++ThisSecond;
    ++Total;
  }

  const Clock &Time;
  Random Chance;
  std::mutex Mutex;
  MemoryTable Table;
  std::map<std::string, std::string> Objects;
  std::deque<std::function<void()>> Delayed;
  std::chrono::seconds CountedSecond{-1};
  std::size_t ReadsThisSecond = 0;
  std::size_t WritesThisSecond = 0;
  std::size_t ReadCount = 0;
  std::size_t WriteCount = 0;
};

/// One client's table service over a FakePlatform, which must outlive it.
class FakeTable final : public TableService {
public:
  explicit FakeTable(FakePlatform &Shared) : Shared(Shared) {}

  /// Faults of this client's connection to the platform.
  PlatformFaults Faults;

  std::optional<Row> read(const RowKey &Key) override {
    return Shared.read(Faults, [&] { return Shared.Table.read(Key); });
  }

  std::vector<Row> query(const std::string &Partition,
                         const std::string &FromSort,
                         std::size_t Limit) override {
    return Shared.read(
        Faults, [&] { return Shared.Table.query(Partition, FromSort, Limit); });
  }

  void commit(const Transaction &Writes) override {
    Shared.write(Faults, [Platform = &Shared, Writes] {
      Platform->Table.commit(Writes, Platform->Time.now());
    });
  }

private:
  FakePlatform &Shared;
};

/// One client's object store over a FakePlatform, which must outlive it.
class FakeObjects final : public ObjectStore {
public:
  explicit FakeObjects(FakePlatform &Shared) : Shared(Shared) {}

  /// Faults of this client's connection to the platform.
  PlatformFaults Faults;

  void put(const std::string &Key, const std::string &Bytes) override {
    Shared.write(Faults, [Platform = &Shared, Key, Bytes] {
      Platform->Objects[Key] = Bytes;
    });
  }

  std::optional<std::string> get(const std::string &Key) override {
    return Shared.read(Faults, [&]() -> std::optional<std::string> {
      auto Found = Shared.Objects.find(Key);
      if (Found == Shared.Objects.end())
        return std::nullopt;
      return Found->second;
    });
  }

  void remove(const std::string &Key) override {
    Shared.write(Faults,
                 [Platform = &Shared, Key] { Platform->Objects.erase(Key); });
  }

private:
  FakePlatform &Shared;
};

} // namespace daisyspool

#endif // DAISYSPOOL_TESTS_SUPPORT_FAKEPLATFORM_H
