#include "daisyspool/telemetry/Explain.h"

#include <catch2/catch.hpp>

#include <sstream>

using namespace daisyspool;

// Guards against lines of other jobs in the output, and against lines of
// several processes that are not sorted by time.
TEST_CASE("explain prints a job's lines of all processes in order of time") {
  std::istringstream Logs(
      "time=2026-12-04T12:00:02 process=b event=run_end task=ab.0.0.1 run=1\n"
      "time=2026-12-04T12:00:01 process=a event=job_accepted job=ab\n"
      "time=2026-12-04T12:00:01 process=a event=job_accepted job=abc\n"
      "12.5 frontend-1 time=2026-12-04T12:00:03 event=job_ended job=ab x=1\n");
  auto Lines = logLinesFor("ab", Logs);
  REQUIRE(Lines.size() == 3);
  REQUIRE(Lines[0].find("job_accepted") != std::string::npos);
  REQUIRE(Lines[1].find("run_end") != std::string::npos);
  REQUIRE(Lines[2].find("job_ended") != std::string::npos);
}
