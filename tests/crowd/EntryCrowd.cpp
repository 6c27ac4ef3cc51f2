// Load pattern of all tests in this file: a crowd of clients that ignore the
// limits sends to an entry and stays open. Each guards against an entry that
// its platform ends because the crowd takes its memory or descriptors, and
// against one that no ordinary caller reaches any more.
#include "CrowdedProcess.h"

using namespace daisyspool;
using namespace daisyspool::crowd;

namespace {

constexpr std::size_t Clients = 200;
/// The largest body that the configuration allows.
constexpr std::size_t MaxBodyBytes = 262144;
constexpr std::size_t Whole = 64 * 1024 * 1024;
constexpr const char *Job =
    R"({"spec":"crowd","steps":[{"count":1,"cpu":100,"mem_mb":10}]})";

std::string jobPath(char Last) {
  return std::string("/queue/000000000000000") + Last;
}

/// Checks the limits of \p Entry and that it answers ordinary callers.
void requireHeld(CrowdedProcess &Entry) {
  Entry.requireWithinLimits();
  int Submitted =
      CrowdedProcess::status(Entry.Front, "POST", jobPath('2'), Job);
  CHECK((Submitted / 100 == 2 || Submitted == 503));
  int Queried = CrowdedProcess::status(Entry.Front, "GET", jobPath('3'));
  CHECK((Queried / 100 == 2 || Queried == 410 || Queried == 503));
  CHECK(CrowdedProcess::status(Entry.Readiness, "GET", "/") == 200);
  Entry.requireWithinLimits();
}

void holdAgainst(std::size_t Count, const std::string &Bytes, std::size_t Piece,
                 std::size_t Descriptors = AmpleDescriptors) {
  CrowdedProcess Entry("fleet-entry", Descriptors);
  CrowdClients Crowd(Entry.Front, Count, Bytes, Piece);
  Crowd.send();
  requireHeld(Entry);
}

} // namespace

TEST_CASE("crowd at an entry: whole bodies one byte short") {
  holdAgainst(Clients, bodyOneByteShort(jobPath('1'), MaxBodyBytes), Whole);
}

TEST_CASE("crowd at an entry: bodies one byte short, in pieces") {
  holdAgainst(Clients, bodyOneByteShort(jobPath('1'), MaxBodyBytes), 4096);
}

TEST_CASE("crowd at an entry: large chunks without an end") {
  holdAgainst(Clients, chunksWithoutEnd(jobPath('1'), MaxBodyBytes, 65536),
              65536);
}

TEST_CASE("crowd at an entry: chunks of one byte without an end") {
  holdAgainst(Clients, chunksWithoutEnd(jobPath('1'), MaxBodyBytes / 2, 1),
              65536);
}

TEST_CASE("crowd at an entry: a last chunk byte by byte") {
  holdAgainst(Clients,
              postHead(jobPath('1'), "Transfer-Encoding: chunked") + "0\r\n\r",
              1);
}

TEST_CASE("crowd at an entry: trailers without end") {
  holdAgainst(20, endlessTrailers(jobPath('1'), 4 * 1024 * 1024), 65536);
}

TEST_CASE("crowd at an entry: a chunk extension without end") {
  holdAgainst(20,
              postHead(jobPath('1'), "Transfer-Encoding: chunked") +
                  "2;x=" + std::string(4 * 1024 * 1024, 'x'),
              65536);
}

TEST_CASE("crowd at an entry: many header lines") {
  std::string Lines;
  while (Lines.size() < 16000)
    Lines += "a:\r\n";
  holdAgainst(Clients,
              postHead(jobPath('1'), Lines + "Content-Length: 2") + "{", Whole);
}

TEST_CASE("crowd at an entry: header lines without end") {
  std::string Lines;
  while (Lines.size() < 4 * 1024 * 1024)
    Lines += "a: b\r\n";
  holdAgainst(20, "GET " + jobPath('1') + " HTTP/1.1\r\n" + Lines, 65536);
}

TEST_CASE("crowd at an entry: a target without end") {
  holdAgainst(Clients, "GET /" + std::string(1024 * 1024, 'x'), 65536);
}

TEST_CASE("crowd at an entry: headers byte by byte") {
  holdAgainst(Clients, "GET " + jobPath('1') + " HTTP/1.1\r\nHost: 127.0.0.1",
              1, FewDescriptors);
}

TEST_CASE("crowd at an entry: connections without a request") {
  holdAgainst(Clients, "", 1, FewDescriptors);
}

TEST_CASE("crowd at an entry: pipelined requests") {
  std::string Requests;
  while (Requests.size() < 1024 * 1024)
    Requests += "GET " + jobPath('1') + " HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n";
  holdAgainst(Clients, Requests, 65536);
}

TEST_CASE("crowd at an entry: metrics that nobody reads") {
  CrowdedProcess Entry("fleet-entry", AmpleDescriptors);
  std::string Requests;
  while (Requests.size() < 64 * 1024)
    Requests += "GET /metrics HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n";
  CrowdClients Crowd(Entry.Metrics, Clients, Requests, 65536);
  Crowd.send();
  requireHeld(Entry);
  CHECK(CrowdedProcess::status(Entry.Metrics, "GET", "/metrics") == 200);
}

TEST_CASE("crowd at an entry: whole bodies for its readiness") {
  CrowdedProcess Entry("fleet-entry", AmpleDescriptors);
  CrowdClients Crowd(Entry.Readiness, Clients,
                     bodyOneByteShort("/", MaxBodyBytes), Whole);
  Crowd.send();
  requireHeld(Entry);
}
