// Stateful fuzzing of jobs, claims, leases and the journal: runs random
// sequences of calls and faults with successive seeds until the time limit. On
// a violation it prints the shrunk sequence and the command that reproduces it.

#include "sim/Sequences.h"

#include <chrono>
#include <cstdlib>
#include <iostream>

int main(int Count, char **Arguments) {
  constexpr int SequencesPerSeed = 20;
  if (Count != 3) {
    std::cerr << "usage: fuzz_jobs SEED SECONDS\n";
    return 2;
  }

  std::uint64_t Seed = std::strtoull(Arguments[1], nullptr, 10);
  const auto End = std::chrono::steady_clock::now() +
                   std::chrono::seconds(std::strtol(Arguments[2], nullptr, 10));
  std::uint64_t Sequences = 0;
  do {
    const daisyspool::sim::SequencesResult Result =
        daisyspool::sim::runSequences(Seed, SequencesPerSeed);
    Sequences += SequencesPerSeed;
    if (!Result.Passed) {
      std::cout << Result.Message
                << "\nfuzz_jobs: violation sequences=" << Sequences
                << "\nrepeat with: " << Arguments[0] << ' ' << Seed << " 0\n";
      return 1;
    }
    ++Seed;
  } while (std::chrono::steady_clock::now() < End);

  std::cout << "fuzz_jobs: no violation sequences=" << Sequences
            << " next-seed=" << Seed << '\n';
  return 0;
}
