// Load pattern of all tests in this file: a crowd of clients that ignore the
// limits sends to an agent and stays open. Each guards against an agent that
// its platform ends because the crowd takes its memory or descriptors, and
// against one that its worker or an entry no longer reaches.
#include "CrowdedProcess.h"

using namespace daisyspool;
using namespace daisyspool::crowd;

namespace {

constexpr std::size_t Clients = 20;
/// The largest body that an agent takes.
constexpr std::size_t MaxBodyBytes = 4 * 1024 * 1024;
constexpr std::size_t Whole = 64 * 1024 * 1024;
constexpr const char *Heartbeat = "/-/instances/worker/heartbeat";
constexpr const char *Announcement =
    R"({"service":"service","address":"127.0.0.1:1","zone":"a","version":"v1",)"
    R"("slots":8,"state":"ready","cold_remaining_ms":0,"clock_ms":1,"born":1,)"
    R"("sequence":1,"labels":[],)"
    R"("capacity":{"cpu":8000,"mem_mb":32000,"gpu":0}})";

/// Checks the limits of \p Agent and that it answers its worker and entries.
void requireHeld(CrowdedProcess &Agent) {
  Agent.requireWithinLimits();
  CHECK(CrowdedProcess::status(Agent.Front, "POST", Heartbeat, Announcement) ==
        200);
  // A sync that cannot be decoded is answered at once.
  CHECK(CrowdedProcess::status(Agent.Links, "POST", "/sync", "none") == 400);
  CHECK(CrowdedProcess::status(Agent.Metrics, "GET", "/metrics") == 200);
  Agent.requireWithinLimits();
}

void holdAgainst(http::Endpoint CrowdedProcess::*Port, std::size_t Count,
                 const std::string &Bytes, std::size_t Piece,
                 std::size_t Descriptors = AmpleDescriptors) {
  CrowdedProcess Agent("fleet-agent", Descriptors);
  CrowdClients Crowd(Agent.*Port, Count, Bytes, Piece);
  Crowd.send();
  requireHeld(Agent);
}

} // namespace

TEST_CASE("crowd at an agent: whole sync bodies one byte short") {
  holdAgainst(&CrowdedProcess::Links, Clients,
              bodyOneByteShort("/sync", MaxBodyBytes), Whole);
}

TEST_CASE("crowd at an agent: whole announcements one byte short") {
  holdAgainst(&CrowdedProcess::Front, Clients,
              bodyOneByteShort(Heartbeat, MaxBodyBytes), Whole);
}

TEST_CASE("crowd at an agent: sync bodies in pieces") {
  holdAgainst(&CrowdedProcess::Links, Clients,
              bodyOneByteShort("/sync", MaxBodyBytes), 4096);
}

TEST_CASE("crowd at an agent: sync bodies in large chunks") {
  holdAgainst(&CrowdedProcess::Links, Clients,
              chunksWithoutEnd("/sync", MaxBodyBytes, 65536), 65536);
}

TEST_CASE("crowd at an agent: sync bodies in chunks of one byte") {
  holdAgainst(&CrowdedProcess::Links, Clients,
              chunksWithoutEnd("/sync", MaxBodyBytes / 2, 1), 65536);
}

TEST_CASE("crowd at an agent: announcements with trailers without end") {
  holdAgainst(&CrowdedProcess::Front, Clients,
              endlessTrailers(Heartbeat, 4 * 1024 * 1024), 65536);
}

TEST_CASE("crowd at an agent: connections without a request") {
  holdAgainst(&CrowdedProcess::Front, 200, "", 1, FewDescriptors);
}

TEST_CASE("crowd at an agent: pipelined announcements") {
  std::string Requests;
  while (Requests.size() < 1024 * 1024)
    Requests += postHead(Heartbeat, "Content-Length: 2") + "{}";
  holdAgainst(&CrowdedProcess::Front, 200, Requests, 65536);
}

TEST_CASE("crowd at an agent: metrics that nobody reads") {
  std::string Requests;
  while (Requests.size() < 64 * 1024)
    Requests += "GET /metrics HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n";
  holdAgainst(&CrowdedProcess::Metrics, 200, Requests, 65536);
}
