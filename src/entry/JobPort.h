// Callers' jobs over HTTP: submit, state, wait and cancel.
#ifndef DAISYSPOOL_SRC_ENTRY_JOBPORT_H
#define DAISYSPOOL_SRC_ENTRY_JOBPORT_H

#include "daisyspool/core/Random.h"
#include "daisyspool/entry/PeerLinks.h"
#include "daisyspool/entry/ShardGateway.h"
#include "daisyspool/http/Server.h"

#include <memory>
#include <string>

namespace daisyspool {

class JobPort {
public:
  using ExchangePtr = std::shared_ptr<http::Exchange>;

  JobPort(ShardGateway &Shards, PeerLinks &Peers, std::uint64_t Seed)
      : Shards(Shards), Peers(Peers), Source(Seed) {}
  JobPort(const JobPort &) = delete;
  JobPort &operator=(const JobPort &) = delete;

  /// Whether \p Target is a path of the jobs API.
  static bool isJobPath(std::string_view Target);

  void handle(http::Request Received, const ExchangePtr &Answer);

  /// Forwards \p Received if another entry owns the shard of \p Key, or refuses
  /// it if the owner is unknown. Returns false, without effect, if this entry
  /// owns the shard.
  bool forwardOrRefuse(const std::string &Key, const http::Request &Received,
                       Duration Timeout, const ExchangePtr &Answer);

private:
  void submit(http::Request Received, const ExchangePtr &Answer);
  void query(const JobId &Job, bool Wait, const ExchangePtr &Answer);
  void cancel(const JobId &Job, const http::Request &Received,
              const ExchangePtr &Answer);

  ShardGateway &Shards;
  PeerLinks &Peers;
  Random Source;
};

} // namespace daisyspool

#endif // DAISYSPOOL_SRC_ENTRY_JOBPORT_H
